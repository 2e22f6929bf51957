package io.bluebellramp.bench.trial

/** Prints the results of trials as a table. */
internal object TrialTable {
    private const val HEADER =
        "site    scenario   load entries policy        median     p90     p99     max wide-max  waste control demand recall failed   zone"

    fun printHeader() = println(HEADER)

    fun printRow(row: TrialRow) =
        println(
            "%-7s %-9s %5.2f %7d %-12s %7.3f %7.2f %7.2f %7.1f %8.2f %6.3f %7.2f %6.2f %6.3f %6.4f %6.3f".format(
                row.site,
                row.scenario,
                row.load,
                row.entries,
                row.policy,
                row.slowdown.median,
                row.slowdown.p90,
                row.slowdown.p99,
                row.slowdown.max,
                row.wideSlowdown.max,
                row.wastedPerTask,
                row.controlPerTask,
                row.demandPerTask,
                row.recallsPerTask,
                row.failedShare,
                row.zoneShare,
            ),
        )

    /** Prints the rows that occur in both reports side by side. */
    fun printComparison(
        before: TrialReport,
        after: TrialReport,
    ) {
        println("site    scenario   load entries policy       median: before, after    p99: before, after   control: before, after")
        for (row in after.rows) {
            val old = before.rows.firstOrNull { it.isSameCell(row) } ?: continue
            println(
                "%-7s %-9s %5.2f %7d %-12s %14.3f %8.3f %12.2f %8.2f %14.2f %8.2f".format(
                    row.site,
                    row.scenario,
                    row.load,
                    row.entries,
                    row.policy,
                    old.slowdown.median,
                    row.slowdown.median,
                    old.slowdown.p99,
                    row.slowdown.p99,
                    old.controlPerTask,
                    row.controlPerTask,
                ),
            )
        }
    }
}

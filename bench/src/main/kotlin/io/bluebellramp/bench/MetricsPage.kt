package io.bluebellramp.bench

/** The counters of a Prometheus text page. */
internal class MetricsPage(
    text: String,
) {
    /** Value of each counter, by name and labels. */
    val counters: Map<String, Double> =
        text
            .lineSequence()
            .filter { it.isNotBlank() && !it.startsWith("#") }
            .map { it.substringBeforeLast(' ') to it.substringAfterLast(' ').toDoubleOrNull() }
            .filter { (name, value) -> value != null && name.substringBefore('{').endsWith("_total") }
            .associate { (name, value) -> name to (value ?: 0.0) }

    /** How the counters grew from [before] to this page. */
    fun growthSince(
        before: MetricsPage?,
        process: String,
        tasks: Int,
    ): List<CounterGrowth> =
        counters.map { (name, value) ->
            val growth = value - (before?.counters?.get(name) ?: 0.0)
            CounterGrowth(process = process, counter = name, growth = growth, perTask = if (tasks > 0) growth / tasks else 0.0)
        }
}

/**
 * What the processes have counted at one moment.
 *
 * @property pages pages of metrics by URL
 * @property processorSeconds processor time by process id (s)
 */
internal class Scrape(
    private val pages: Map<String, MetricsPage>,
    private val processorSeconds: Map<Int, Double>,
) {
    /** How everything grew from [before] to this moment. */
    fun growthSince(
        before: Scrape,
        tasks: Int,
    ): List<CounterGrowth> =
        pages.flatMap { (url, page) -> page.growthSince(before.pages[url], process = url, tasks = tasks) } +
            processorSeconds.map { (pid, seconds) -> processorGrowth(pid, seconds - (before.processorSeconds[pid] ?: 0.0), tasks) }

    private fun processorGrowth(
        pid: Int,
        growth: Double,
        tasks: Int,
    ) = CounterGrowth(
        process = "process $pid",
        counter = "processor_seconds",
        growth = growth,
        perTask = if (tasks > 0) growth / tasks else 0.0,
    )
}

package io.bluebellramp.bench

import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Counts the starts of each task in the starts files of the sample targets and fails if any task started more than once. */
internal class StartsCommand : BenchCommand("starts", "Count tasks that started more than once") {
    private val files by argument(ArgType.String, description = "Starts files of the sample targets").vararg()

    override fun run(): Int {
        val tally = StartsTally()
        files.forEach { file -> read(file).forEach { line -> add(tally, file, line) } }
        println(tally.summary())
        tally.repeated().forEach { println("  ${it.key.submission} ${it.key.task} ${it.key.kind}: ${it.value} starts") }
        return if (tally.repeated().isEmpty()) ExitCode.OK else ExitCode.FAILED
    }

    private fun read(file: String): List<String> =
        try {
            Files.readAllLines(Path.of(file))
        } catch (e: IOException) {
            throw UsageException("cannot read $file: ${e.message}")
        }

    private fun add(
        tally: StartsTally,
        file: String,
        line: String,
    ) {
        if (!tally.add(line)) throw UsageException("$file: not a line of a starts file: \"$line\"")
    }
}

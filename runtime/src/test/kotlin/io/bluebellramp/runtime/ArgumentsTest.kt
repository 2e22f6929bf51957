package io.bluebellramp.runtime

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class ArgumentsTest {
    private class ExitException(
        message: String,
        val code: Int,
    ) : Exception(message)

    @OptIn(ExperimentalCli::class)
    private fun parseUntilExit(vararg args: String): ExitException =
        assertFailsWith<ExitException> {
            val parser = argumentParser("tool") { message, code -> throw ExitException(message, code) }
            parser.subcommands(
                object : Subcommand("load", "Load") {
                    val size by option(ArgType.Int, fullName = "size", description = "Size")

                    override fun execute() = check(size != null)
                },
            )
            parser.parse(arrayOf(*args))
        }

    @Nested
    inner class `An invalid argument` {
        @Test
        fun `exits with 2 and prints the usage`() {
            listOf(arrayOf("--nothing"), arrayOf("load", "--nothing"), arrayOf("load", "--size", "many"), arrayOf("more")).forEach {
                val exit = parseUntilExit(*it)
                assertEquals(ExitCode.USAGE, exit.code, it.toList().toString())
                assertTrue("Usage: tool" in exit.message.orEmpty(), exit.message)
            }
        }
    }

    @Nested
    inner class `A request for help` {
        @Test
        fun `exits with 0`() = assertEquals(ExitCode.OK, parseUntilExit("--help").code)
    }
}

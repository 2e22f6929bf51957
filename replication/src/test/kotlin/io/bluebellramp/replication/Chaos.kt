package io.bluebellramp.replication

/** Chances and delays of the fake network. */
internal class Chaos(
    val drop: Double,
    val twice: Double,
    val late: Double,
)

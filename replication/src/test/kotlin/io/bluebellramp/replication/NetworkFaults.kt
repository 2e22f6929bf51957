package io.bluebellramp.replication

/** The probabilities that [SimulatedCluster] drops, duplicates, or long delays a message. */
internal class NetworkFaults(
    val dropChance: Double,
    val duplicateChance: Double,
    val delayChance: Double,
)

package io.bluebellramp.transport

import io.bluebellramp.core.Address
import io.bluebellramp.messages.NodeSettings

/** Where processes listen for links. Ports are the same on all VMs, so the host is enough to find a process. */
object LinkPorts {
    /** Where the entry of the VM [host] listens. */
    fun entry(
        settings: NodeSettings,
        host: String,
    ) = Address("$host:${settings.firstPort}")

    /** Where the control process of the VM [host] listens. */
    fun control(
        settings: NodeSettings,
        host: String,
    ) = Address("$host:${settings.firstPort + 1}")
}

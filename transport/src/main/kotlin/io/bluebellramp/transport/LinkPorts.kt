package io.bluebellramp.transport

import io.bluebellramp.core.Address
import io.bluebellramp.messages.NodeSettings

/** Addresses on which processes accept links. Ports are the same on all VMs, so the host determines the address. */
object LinkPorts {
    /** Returns the address of the entry on the VM [host]. */
    fun entry(
        settings: NodeSettings,
        host: String,
    ) = Address("$host:${settings.firstPort}")

    /** Returns the address of the control process on the VM [host]. */
    fun control(
        settings: NodeSettings,
        host: String,
    ) = Address("$host:${settings.firstPort + 1}")
}

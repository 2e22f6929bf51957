package io.bluebellramp.transport

/**
 * A fully received request.
 *
 * @property path the path without its query
 * @property header returns the value of a header by its case-insensitive name, or null
 */
class HttpCall internal constructor(
    val method: String,
    val path: String,
    val body: ByteArray,
    val header: (String) -> String?,
    private val exchange: HttpExchange,
) {
    /** True once the caller has closed its connection or a reply was sent. */
    val isFinished: Boolean get() = exchange.isFinished

    /** Calls [action] if the caller closes its connection before a reply is sent. */
    fun onDisconnect(action: () -> Unit) {
        exchange.onDisconnect = action
    }

    /** Sends the reply. Has no effect after the first reply, or once the caller has disconnected. */
    fun respond(response: HttpResponse) = exchange.respond(response)
}

/**
 * The reply to an [HttpCall].
 *
 * @property closes true to close the connection after the reply
 */
class HttpResponse(
    val status: Int,
    val body: String = "",
    val headers: Map<String, String> = emptyMap(),
    val contentType: String = "application/json",
    val closes: Boolean = false,
)

/** Handles requests; called on the event loop. */
fun interface HttpHandler {
    /** Handles [call]. The reply may be sent later. */
    fun handle(call: HttpCall)
}

internal interface HttpExchange {
    val isFinished: Boolean
    var onDisconnect: (() -> Unit)?

    fun respond(response: HttpResponse)
}

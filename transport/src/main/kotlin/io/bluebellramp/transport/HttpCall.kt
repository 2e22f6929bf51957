package io.bluebellramp.transport

/**
 * A request that arrived whole.
 *
 * @property path the path without its query
 * @property header returns the value of a header by its name in any case, or null
 */
class HttpCall internal constructor(
    val method: String,
    val path: String,
    val body: ByteArray,
    val header: (String) -> String?,
    private val exchange: HttpExchange,
) {
    /** True once the caller has closed its connection, or the answer was given. */
    val isOver: Boolean get() = exchange.isOver

    /** Calls [action] if the caller closes its connection before the answer. */
    fun onGone(action: () -> Unit) {
        exchange.gone = action
    }

    /** Answers. Only the first answer counts; one to a caller that has gone is dropped. */
    fun answer(answer: HttpAnswer) = exchange.answer(answer)
}

/**
 * An answer to an [HttpCall].
 *
 * @property closes true to end the connection after it
 */
class HttpAnswer(
    val status: Int,
    val body: String = "",
    val headers: Map<String, String> = emptyMap(),
    val contentType: String = "application/json",
    val closes: Boolean = false,
)

/** Handles requests; called on the event loop. */
fun interface HttpHandler {
    /** Handles [call], now or later. */
    fun handle(call: HttpCall)
}

internal interface HttpExchange {
    val isOver: Boolean
    var gone: (() -> Unit)?

    fun answer(answer: HttpAnswer)
}

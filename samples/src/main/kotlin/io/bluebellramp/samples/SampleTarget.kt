package io.bluebellramp.samples

import io.bluebellramp.core.Clock
import io.bluebellramp.core.SystemClock
import io.bluebellramp.messages.SampleTargetSettings
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TargetAnswer
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.runtime.Health
import io.bluebellramp.runtime.RunningProgram
import io.bluebellramp.runtime.httpServer
import io.ktor.http.HttpStatusCode
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.post
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds

private const val STOP_GRACE_MILLIS = 100L
private const val STOP_TIMEOUT_MILLIS = 1000L

/** Time for the last answers to get from the handler to the socket before the server stops. */
private val ANSWER_FLUSH_TIME = 50.milliseconds

/**
 * A target that executes the commands in the payload of a call. It serves tests and is an example of a target's side of `POST /run`.
 *
 * It accepts every call; the agent limits how many run at once.
 */
internal class SampleTarget(
    private val settings: SampleTargetSettings,
    clock: Clock = SystemClock,
) : RunningProgram {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val startsFile = settings.startsFile?.let { StartsFile(Path.of(it), clock) }
    private val openCalls = MutableStateFlow(0)
    private val announcer =
        TargetAnnouncer(settings.agent, TargetAnnouncement(settings.target, settings.service, settings.listen))
    private val server =
        httpServer(settings.listen, AlwaysReady, PrometheusRegistry()) {
            post("/run") { run(call) }
        }
    private lateinit var announcementJob: Job

    /** Starts the server and the announcements to the agent. */
    fun start() {
        server.start(wait = false)
        announcementJob = scope.launch { announcer.announce() }
    }

    override fun stop() {
        runBlocking {
            announcementJob.cancelAndJoin()
            announcer.withdraw()
            openCalls.first { it == 0 }
            delay(ANSWER_FLUSH_TIME)
        }
        server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
        scope.cancel()
        announcer.close()
        startsFile?.close()
    }

    private suspend fun run(call: RoutingCall) {
        openCalls.update { it + 1 }
        try {
            val request = call.receive<TargetCall>()
            startsFile?.append(request)
            answer(call, request, PayloadCommand.parse(request.payload))
        } finally {
            openCalls.update { it - 1 }
        }
    }

    private suspend fun answer(
        call: RoutingCall,
        request: TargetCall,
        commands: List<PayloadCommand>,
    ) {
        val result = StringBuilder()
        var answeredTask = request.task
        for (command in commands) {
            when (command) {
                is PayloadCommand.Sleep -> delay(command.time)
                is PayloadCommand.Echo -> result.append(command.text)
                is PayloadCommand.MismatchedAnswer -> answeredTask++
                is PayloadCommand.CloseConnection -> return call.closeConnection()
                is PayloadCommand.Fail -> return call.fail(command)
            }
        }
        call.respond(TargetAnswer(request.submission, answeredTask, request.attempt, result.toString()))
    }

    private suspend fun RoutingCall.fail(command: PayloadCommand.Fail) {
        delay(command.delay)
        respondText("The payload asked for a failure.", status = HttpStatusCode.InternalServerError)
    }

    private fun RoutingCall.closeConnection() {
        val nettyCall = pipelineCall.engineCall as NettyApplicationCall
        nettyCall.context.close()
    }

    private object AlwaysReady : Health {
        override fun isReady() = true
    }
}

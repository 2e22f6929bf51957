package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ClaimMembers
import io.bluebellramp.messages.ClaimRelease
import io.bluebellramp.messages.ClaimRequest
import io.bluebellramp.messages.ClaimResponse
import io.bluebellramp.messages.ClaimVerdict
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.messages.EntryPeer
import io.bluebellramp.messages.HeldClaim
import io.bluebellramp.messages.LeaseRequest
import io.bluebellramp.messages.LeaseResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.runtime.Health
import io.bluebellramp.runtime.httpServer
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.post
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap

/** Returns a loopback address with an unused port. */
internal fun freeAddress() = Address("127.0.0.1:" + ServerSocket(0).use { it.localPort })

/** The configuration of one service `desk` at one site. */
internal const val BASE_CONFIGURATION =
    """{"services":{"desk":{"slots":4,"connections":8,"memoryMegabytes":1000}},"sites":{"vestland":{"zones":["bergen-a"]}}}"""

/** A control process that is the leader and the only voting member. */
internal class FakeControl(
    val address: Address = freeAddress(),
) {
    val claims = ConcurrentHashMap<SubmissionId, HeldClaim>()
    val peers = ConcurrentHashMap<String, EntryPeer>()

    @Volatile
    var grantsLeases = true

    @Volatile
    var abstains = false

    @Volatile
    var lastLease: LeaseRequest? = null
    private val health =
        object : Health {
            override fun isReady() = true
        }
    private val server =
        httpServer(address, health, PrometheusRegistry()) {
            post("/leases") { call.respond(lease(call.receive())) }
            post("/claims") { call.respond(claim(call.receive())) }
            post("/claims/release") {
                release(call.receive())
                call.respond(JsonObject(emptyMap()))
            }
        }.start(wait = false)

    private suspend fun lease(request: LeaseRequest): LeaseResponse {
        lastLease = request
        if (!grantsLeases) return LeaseResponse(granted = false)
        peers[request.entry.value] =
            EntryPeer(entry = request.entry, incarnation = request.incarnation, address = request.address, site = request.site)
        if (request.revision == REVISION) delay(minOf(request.waitMillis, 50))
        return LeaseResponse(
            granted = true,
            leader = address,
            lifeMillis = 2_000,
            revision = REVISION,
            configuration =
                ConfigurationView(
                    revision = REVISION,
                    base = WireJson.decodeFromString(JsonObject.serializer(), BASE_CONFIGURATION),
                    overlays = emptyMap(),
                    zonesOut = emptyList(),
                    targetsOut = emptyList(),
                ),
            entries = peers.values.toList(),
            members = ClaimMembers(version = 1, members = listOf(MemberAddress(member = MemberId("m1"), address = address))),
        )
    }

    private fun claim(request: ClaimRequest): ClaimResponse {
        if (abstains) return ClaimResponse(membership = 1, verdicts = emptyList())
        return ClaimResponse(
            membership = 1,
            verdicts =
                request.claims.map { claim ->
                    val holder =
                        claims.compute(claim.submission) { _, now ->
                            if (now == null || now.holder.incarnation == claim.takeover) {
                                HeldClaim(submission = claim.submission, digest = claim.digest, holder = request.holder)
                            } else {
                                now
                            }
                        }!!
                    if (holder.holder == request.holder) {
                        ClaimVerdict(granted = true)
                    } else {
                        ClaimVerdict(granted = false, holder = holder.holder, digest = holder.digest)
                    }
                },
        )
    }

    private fun release(release: ClaimRelease) =
        release.submissions.forEach { id ->
            claims.computeIfPresent(id) { _, claim ->
                claim.takeIf {
                    it.holder.incarnation !=
                        release.incarnation
                }
            }
        }

    fun stop() = server.stop(0, 0)

    companion object {
        val REVISION = Revision(1)
    }
}

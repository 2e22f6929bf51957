package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Claim
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ClaimMembers
import io.bluebellramp.messages.ClaimVerdict
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.messages.EntryPeer
import io.bluebellramp.messages.LeaseRequest
import io.bluebellramp.messages.LeaseResponse
import io.bluebellramp.messages.MemberAddress
import kotlinx.serialization.json.JsonObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Simulated control processes: three voting members and a leader that grants leases. */
internal class SimControl(
    private val world: SimWorld,
) {
    /** A voting member. One that was restarted has lost its claims and abstains. */
    class Member {
        private val claims = HashMap<SubmissionId, Pair<ClaimHolder, String>>()
        var abstains = false

        fun vote(
            claim: Claim,
            holder: ClaimHolder,
        ): ClaimVerdict? {
            if (abstains) return null
            val held = claims[claim.submission]
            val isFreeOrOwn = held == null || held.first.incarnation == holder.incarnation
            val isTakeover = held != null && held.first.incarnation == claim.takeover
            if (held != null && held.second != claim.digest) return ClaimVerdict(granted = false, holder = held.first, digest = held.second)
            if (!isFreeOrOwn && !isTakeover) return ClaimVerdict(granted = false, holder = held.first, digest = held.second)
            claims[claim.submission] = holder to claim.digest
            return ClaimVerdict(granted = true)
        }

        fun release(
            id: SubmissionId,
            incarnation: IncarnationId,
        ) {
            if (claims[id]?.first?.incarnation == incarnation) claims.remove(id)
        }
    }

    val members = List(3) { Member() }
    private val lastSeen = LinkedHashMap<EntryPeer, Duration>()
    var revision = Revision(1)
    var zonesOut = emptyList<ZoneId>()
    var hasLeader = true

    fun lease(request: LeaseRequest): LeaseResponse {
        if (!hasLeader) return LeaseResponse(granted = false)
        val peer = EntryPeer(request.entry, request.incarnation, request.address, request.site)
        if (!request.leaving) lastSeen[peer] = world.now
        return LeaseResponse(
            granted = true,
            lifeMillis = 2_000,
            revision = revision,
            configuration =
                ConfigurationView(
                    revision = revision,
                    base = base,
                    overlays = emptyMap(),
                    zonesOut = zonesOut,
                    targetsOut = emptyList(),
                ),
            entries = lastSeen.filterValues { world.now - it < 3.seconds }.keys.toList(),
            members = ClaimMembers(1, List(3) { MemberAddress(MemberId("m$it"), Address("127.0.0.1:$it")) }),
        )
    }

    companion object {
        val SERVICE = ServiceId("desk")
        val TEAM = TeamId("brekke")
        private val base =
            WireJson.decodeFromString(
                JsonObject.serializer(),
                """{"services":{"desk":{"slots":2,"connections":3,"retryShare":0.5}},"teams":{"brekke":{"runningTasks":4}},"sites":{}}""",
            )
    }
}

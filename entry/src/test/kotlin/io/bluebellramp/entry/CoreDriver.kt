package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.AgentId
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.TeamId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.ClaimMembers
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.EntryPeer
import io.bluebellramp.messages.LeaseResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.TargetState
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskSpecification
import io.bluebellramp.messages.TaskStatus
import kotlinx.serialization.json.JsonObject
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Drives an [EntryCore] in virtual time. Claims are granted at once unless [grantsClaims] is false. */
internal class CoreDriver(
    maxQueuedTasks: Int = 100,
) {
    val core =
        EntryCore(
            EntryIdentity(EntryId("e1"), IncarnationId("run-1"), Address("127.0.0.1:1"), SiteId("vestland"), ZoneId("bergen-a")),
            maxQueuedTasks,
        )
    var now = Duration.ZERO
    var grantsClaims = true
    val claims = ArrayList<Action.Claim>()
    val releases = ArrayList<Action.Release>()

    /** Connections for which the core requested sending. */
    val linksToFlush = LinkedHashSet<LinkId>()
    val replies = LinkedHashMap<SubmissionId, Reply>()
    private var lastId = 0L

    fun step(block: EntryCore.(Duration) -> Unit) {
        core.block(now)
        val actions = core.takeActions()
        actions.filterIsInstance<Action.Deliver>().forEach { replies[it.submission] = it.reply }
        releases += actions.filterIsInstance<Action.Release>()
        actions.filterIsInstance<Action.Flush>().forEach { linksToFlush += it.link }
        actions.filterIsInstance<Action.Claim>().forEach { claim ->
            claims += claim
            if (grantsClaims) step { onClaimResult(claim.submission, ClaimResult.Granted, it) }
        }
    }

    fun advance(millis: Int) {
        now += millis.milliseconds
        step { tick(it) }
    }

    fun renewLease(
        revision: Long = 1,
        sent: Duration = now,
        zonesOut: List<String> = emptyList(),
        entries: Int = 1,
    ) = step { now ->
        val response =
            LeaseResponse(
                granted = true,
                lifeMillis = 2_000,
                revision = Revision(revision),
                configuration =
                    ConfigurationView(
                        revision = Revision(revision),
                        base = WireJson.decodeFromString(JsonObject.serializer(), CONFIGURATION),
                        overlays = mapOf("vestland" to WireJson.decodeFromString(JsonObject.serializer(), SITE_OVERLAY)),
                        zonesOut = zonesOut.map(::ZoneId),
                        targetsOut = emptyList(),
                    ),
                entries =
                    List(
                        entries,
                    ) { EntryPeer(EntryId("e$it"), IncarnationId("run-$it"), Address("127.0.0.1:$it"), SiteId("vestland")) },
                members = ClaimMembers(1, listOf(MemberAddress(MemberId("m1"), Address("127.0.0.1:9")))),
            )
        onLeaseResponse(response, sent, now)
    }

    /** Connects an agent that grants [slots] credits, and returns its connection. */
    fun connectAgent(
        name: String = "a1",
        incarnation: String = "run-$name",
        slots: Int = 0,
        zone: String = "bergen-a",
    ): LinkId {
        val link = LinkId(++lastId)
        val hello = AgentHello(AgentId(name), IncarnationId(incarnation), SiteId("vestland"), ZoneId(zone))
        val target = TargetState(TargetId(name), ServiceId("desk"), present = true)
        onFrame(link, AgentFrame(hello = hello, target = target, credits = Credits(slots = slots)))
        return link
    }

    fun onFrame(
        link: LinkId,
        frame: AgentFrame,
    ) = step { onFrame(link, frame, it) }

    fun takeFrame(link: LinkId): EntryFrame? = core.takeFrame(link, now)

    fun submit(
        size: Int = 3,
        team: String? = null,
        idempotent: Boolean = false,
        deadlineMillis: Long = 60_000,
    ): SubmissionId {
        val spec =
            SubmissionSpec(
                id = SubmissionId.create(Instant.EPOCH, ++lastId, lastId),
                digest = "d",
                service = ServiceId("desk"),
                team = team?.let(::TeamId),
                kind = DispatchKind.TASK,
                tasks = List(size) { TaskSpecification("t$it", "p$it") },
                deadlineMillis = deadlineMillis,
                idempotent = idempotent,
            )
        step { now -> submit(spec, now)?.let { replies[spec.id] = it } }
        return spec.id
    }

    /** Reports [status] for [dispatches]. */
    fun report(
        link: LinkId,
        dispatches: List<Dispatch>,
        status: TaskStatus,
        credits: Int = 0,
        ranMicros: Long = 0,
    ) = onFrame(
        link,
        AgentFrame(
            outcomes =
                dispatches.map {
                    TaskOutcome(it.submission, it.task, it.attempt, status, result = "r${it.task}", ranMicros = ranMicros)
                },
            credits = Credits(slots = credits),
        ),
    )

    fun answer(id: SubmissionId): Answer? = (replies[id] as? Reply.Answered)?.answer

    private companion object {
        const val CONFIGURATION = """{"services":{"desk":{"slots":8}},"teams":{"brekke":{"runningTasks":4,"queuedTasks":10}},"sites":{}}"""
        const val SITE_OVERLAY = """{"services":{"desk":{"slots":4}}}"""
    }
}

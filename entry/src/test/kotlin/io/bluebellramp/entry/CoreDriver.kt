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

/** Drives a core by hand in virtual time. Claims are granted unless [grantsClaims] is false. */
internal class CoreDriver(
    queuedTasks: Int = 100,
) {
    val core =
        EntryCore(
            EntryIdentity(EntryId("e1"), IncarnationId("run-1"), Address("127.0.0.1:1"), SiteId("vestland"), ZoneId("bergen-a")),
            queuedTasks,
        )
    var now = Duration.ZERO
    var grantsClaims = true
    val claims = ArrayList<Action.Claim>()
    val releases = ArrayList<Action.Release>()

    /** Links that something waits for. */
    val woken = LinkedHashSet<LinkId>()
    val replies = LinkedHashMap<SubmissionId, Reply>()
    private var ids = 0L

    fun step(block: EntryCore.(Duration) -> Unit) {
        core.block(now)
        val actions = core.take()
        actions.filterIsInstance<Action.Deliver>().forEach { replies[it.submission] = it.reply }
        releases += actions.filterIsInstance<Action.Release>()
        actions.filterIsInstance<Action.Wake>().forEach { woken += it.link }
        actions.filterIsInstance<Action.Claim>().forEach { claim ->
            claims += claim
            if (grantsClaims) step { claimed(claim.submission, ClaimResult.Granted, it) }
        }
    }

    fun pass(millis: Int) {
        now += millis.milliseconds
        step { tick(it) }
    }

    fun lease(
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
                        overlays = mapOf("vestland" to WireJson.decodeFromString(JsonObject.serializer(), OVERLAY)),
                        zonesOut = zonesOut.map(::ZoneId),
                        targetsOut = emptyList(),
                    ),
                entries =
                    List(
                        entries,
                    ) { EntryPeer(EntryId("e$it"), IncarnationId("run-$it"), Address("127.0.0.1:$it"), SiteId("vestland")) },
                members = ClaimMembers(1, listOf(MemberAddress(MemberId("m1"), Address("127.0.0.1:9")))),
            )
        renewed(response, sent, now)
    }

    /** Connects an agent with [slots] credits and returns its link. */
    fun agent(
        name: String = "a1",
        run: String = "run-$name",
        slots: Int = 0,
        zone: String = "bergen-a",
    ): LinkId {
        val link = LinkId(++ids)
        val hello = AgentHello(AgentId(name), IncarnationId(run), SiteId("vestland"), ZoneId(zone))
        val target = TargetState(TargetId(name), ServiceId("desk"), present = true)
        frame(link, AgentFrame(hello = hello, target = target, credits = Credits(slots = slots)))
        return link
    }

    fun frame(
        link: LinkId,
        frame: AgentFrame,
    ) = step { frame(link, frame, it) }

    fun drain(link: LinkId): EntryFrame? = core.drain(link, now)

    fun submit(
        size: Int = 3,
        team: String? = null,
        idempotent: Boolean = false,
        deadlineMillis: Long = 60_000,
    ): SubmissionId {
        val new =
            NewSubmission(
                id = SubmissionId.create(Instant.EPOCH, ++ids, ids),
                digest = "d",
                service = ServiceId("desk"),
                team = team?.let(::TeamId),
                kind = DispatchKind.TASK,
                tasks = List(size) { TaskSpecification("t$it", "p$it") },
                deadlineMillis = deadlineMillis,
                idempotent = idempotent,
            )
        step { now -> submit(new, now)?.let { replies[new.id] = it } }
        return new.id
    }

    /** Reports [status] for [dispatches]. */
    fun report(
        link: LinkId,
        dispatches: List<Dispatch>,
        status: TaskStatus,
        credits: Int = 0,
        ranMicros: Long = 0,
    ) = frame(
        link,
        AgentFrame(
            outcomes =
                dispatches.map {
                    TaskOutcome(it.submission, it.task, it.attempt, status, result = "r${it.task}", ranMicros = ranMicros)
                },
            credits = Credits(slots = credits),
        ),
    )

    fun answer(id: SubmissionId): Answer? = (replies[id] as? Reply.Whole)?.answer

    private companion object {
        const val CONFIGURATION = """{"services":{"desk":{"slots":8}},"teams":{"brekke":{"runningTasks":4,"queuedTasks":10}},"sites":{}}"""
        const val OVERLAY = """{"services":{"desk":{"slots":4}}}"""
    }
}

package io.bluebellramp.jobs

import kotlin.time.Duration

/**
 * When the entry on each link is known to have last heard from this agent.
 *
 * An entry takes the runs of a link for ended when it has received nothing on it for a certain time. It cannot have begun to count before the agent
 * sent a frame that the entry received, so this agent can tell when the leases of these runs must have ended.
 *
 * @param leaseAfterContact longest time from the sending of a frame that the entry received until the end of a lease
 */
internal class EntryContacts(
    private val leaseAfterContact: Duration,
) {
    private val contacts = HashMap<LinkId, Duration>()
    private val lostLinks = HashSet<LinkId>()

    /** Records that the entry on [link] has received a frame that was sent at [sentAt] or later. */
    fun reached(
        link: LinkId,
        sentAt: Duration,
    ) {
        if (link !in lostLinks) contacts.merge(link, sentAt, ::maxOf)
    }

    /** Records that [link] is lost. Its last contact is kept while it has runs. */
    fun lost(link: LinkId) {
        if (link in contacts) lostLinks += link
    }

    /** Forgets the lost links without runs. */
    fun forgetLostLinks(hasRuns: (LinkId) -> Boolean) {
        if (lostLinks.isEmpty()) return
        val forgotten = lostLinks.filterNot(hasRuns).toSet()
        lostLinks -= forgotten
        contacts -= forgotten
    }

    /** Returns when every lease of the runs of [link] must have ended, or an infinite time if the entry was never heard of. */
    fun latestLeaseEnd(link: LinkId): Duration = contacts[link]?.plus(leaseAfterContact) ?: Duration.INFINITE
}

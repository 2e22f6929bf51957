package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.messages.DispatchFrame
import io.bluebellramp.messages.StepDispatch

/**
 * What an entry has for one agent, as frames in the order of the decisions. An agent applies the stops and cancels of a frame before its
 * dispatches, so a stop that follows a dispatch of the same job starts another frame.
 */
internal class DispatchOutbox {
    private val full = ArrayList<DispatchFrame>()
    private val dispatches = ArrayList<StepDispatch>()
    private val stops = LinkedHashSet<JobId>()
    private val cancels = LinkedHashSet<JobId>()

    fun dispatch(dispatch: StepDispatch) {
        dispatches += dispatch
    }

    fun stop(job: JobId) {
        startFrameAfterDispatchOf(job)
        stops += job
    }

    fun cancel(job: JobId) {
        startFrameAfterDispatchOf(job)
        cancels += job
    }

    /** Removes and returns the frames in the order in which they must be sent. */
    fun take(): List<DispatchFrame> {
        endFrame()
        return full.toList().also { full.clear() }
    }

    private fun startFrameAfterDispatchOf(job: JobId) {
        if (dispatches.any { it.job == job }) endFrame()
    }

    private fun endFrame() {
        if (dispatches.isEmpty() && stops.isEmpty() && cancels.isEmpty()) return
        full += DispatchFrame(dispatches = dispatches.toList(), stops = stops.toList(), cancels = cancels.toList())
        dispatches.clear()
        stops.clear()
        cancels.clear()
    }
}

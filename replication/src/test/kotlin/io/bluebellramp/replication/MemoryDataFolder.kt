package io.bluebellramp.replication

import java.nio.ByteBuffer
import kotlin.random.Random

/** Thrown in place of an operation on a [MemoryDataFolder] whose process was killed. */
internal class ProcessKilledException : RuntimeException("killed")

/**
 * A [DataFolder] in memory that outlives its processes. A process is killed before any chosen operation; a loss of power then keeps or loses
 * each change that was not synced, as a disk may.
 */
internal class MemoryDataFolder(
    private val random: Random,
) : DataFolder {
    private class Inode {
        var synced = ByteArray(0)
        val unsynced = ArrayList<(ByteArray, Random?) -> ByteArray>()

        fun content() = unsynced.fold(synced) { content, change -> change(content, null) }
    }

    private class NameChange(
        val created: Inode?,
        val apply: (HashMap<String, Inode>) -> Unit,
    )

    private val syncedNames = HashMap<String, Inode>()
    private val unsyncedNames = ArrayList<NameChange>()
    private var operationsLeft = Int.MAX_VALUE

    /** Number of operations since the folder was created. */
    var operations = 0
        private set

    /** Kills the process before the operation after the next [count] ones. */
    fun killAfter(count: Int) {
        operationsLeft = count
    }

    /** Lets a new process use the folder. */
    fun restart() {
        operationsLeft = Int.MAX_VALUE
    }

    /** Keeps or loses each unsynced change of a name, and keeps, tears or loses each unsynced change of a file. */
    fun losePower() {
        unsyncedNames.removeIf { random.nextBoolean() }
        unsyncedNames.forEach { it.apply(syncedNames) }
        unsyncedNames.clear()
        syncedNames.values.forEach { inode ->
            inode.synced =
                inode.unsynced.fold(inode.synced) { content, change -> if (random.nextBoolean()) change(content, random) else content }
            inode.unsynced.clear()
        }
    }

    override fun lock() = true

    override fun exists(name: String) = name in names()

    override fun open(name: String): DataFile {
        val inode =
            names()[name] ?: perform {
                Inode().also { created -> unsyncedNames += NameChange(created) { it[name] = created } }
            }
        return MemoryDataFile(inode)
    }

    override fun rename(
        from: String,
        to: String,
    ) = perform {
        val inode = checkNotNull(names()[from]) { "no file $from" }
        unsyncedNames +=
            NameChange(created = null) {
                it[to] = inode
                it.remove(from, inode)
            }
        Unit
    }

    override fun syncNames() =
        perform {
            unsyncedNames.forEach { it.apply(syncedNames) }
            unsyncedNames.clear()
        }

    override fun close() = Unit

    private fun names() = HashMap(syncedNames).also { names -> unsyncedNames.forEach { it.apply(names) } }

    private fun <T> perform(operation: () -> T): T {
        if (operationsLeft-- <= 0) throw ProcessKilledException()
        operations++
        return operation()
    }

    private inner class MemoryDataFile(
        private val inode: Inode,
    ) : DataFile {
        override val size get() = inode.content().size.toLong()

        override fun read(
            offset: Long,
            target: ByteBuffer,
        ) {
            val content = inode.content()
            val length = minOf(target.remaining(), content.size - offset.toInt())
            target.put(content, offset.toInt(), length)
        }

        /** A process that is killed during the write leaves a part of it. */
        override fun append(content: ByteBuffer) {
            val bytes = ByteArray(content.remaining()).also { content.get(it) }
            if (operationsLeft <= 0) write(bytes.copyOf(random.nextInt(bytes.size + 1)))
            perform { write(bytes) }
        }

        override fun truncate(size: Long) =
            perform {
                inode.unsynced += { content, _ -> content.copyOf(minOf(size.toInt(), content.size)) }
            }

        override fun sync() =
            perform {
                inode.synced = inode.content()
                inode.unsynced.clear()
                unsyncedNames.removeIf { change -> (change.created === inode).also { if (it) change.apply(syncedNames) } }
                Unit
            }

        override fun close() = Unit

        private fun write(bytes: ByteArray) {
            val offset = inode.content().size
            inode.unsynced += { content, tearing ->
                val kept = tearing?.nextInt(bytes.size + 1) ?: bytes.size
                content.copyOf(maxOf(content.size, offset + kept)).also { bytes.copyInto(it, offset, 0, kept) }
            }
        }
    }
}

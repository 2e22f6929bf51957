package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.MemberAddress
import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/**
 * Who this member of the replicated log is, kept beside its log.
 *
 * A member whose folder was emptied gets a new id and joins as a new member, so that it never votes on what it no longer knows.
 *
 * @property founders the first members of the system; empty for a member that joins later
 */
@Serializable
internal data class MemberIdentity(
    val member: MemberId,
    val founders: List<MemberAddress>,
) {
    companion object {
        private const val FILE = "identity"

        /**
         * Returns the identity in [folder], or makes and stores one.
         *
         * @param isFounding true only when the whole system starts for the first time
         * @param seeds links' addresses of the first members
         */
        fun of(
            folder: Path,
            self: Address,
            seeds: List<Address>,
            isFounding: Boolean,
        ): MemberIdentity {
            Files.createDirectories(folder)
            val file = folder.resolve(FILE)
            if (Files.exists(file)) return WireJson.decodeFromString(Files.readString(file))
            val made =
                if (isFounding && self in seeds) {
                    MemberIdentity(founderId(self), seeds.map { MemberAddress(founderId(it), it) })
                } else {
                    MemberIdentity(MemberId("${founderId(self)}-${IncarnationId.next()}"), emptyList())
                }
            store(folder, file, WireJson.encodeToString(made))
            return made
        }

        /** Tells whether [folder] holds an identity. */
        fun isIn(folder: Path): Boolean = Files.exists(folder.resolve(FILE))

        /** Founders know each other's ids from the seeds alone. */
        private fun founderId(address: Address) = MemberId("c-${address.host}")

        private fun store(
            folder: Path,
            file: Path,
            text: String,
        ) {
            val fresh = folder.resolve("$FILE.new")
            FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING).use {
                it.write(ByteBuffer.wrap(text.encodeToByteArray()))
                it.force(true)
            }
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
            FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
        }
    }
}

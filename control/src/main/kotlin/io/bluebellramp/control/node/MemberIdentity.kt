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
 * The identity of this member of the replicated log, stored beside its log.
 *
 * A member whose folder was emptied gets a new id and joins as a new member, so that it never votes without the log it had.
 *
 * @property founders the initial members of the cluster; empty for a member that joins later
 */
@Serializable
internal data class MemberIdentity(
    val member: MemberId,
    val founders: List<MemberAddress>,
) {
    companion object {
        private const val FILE_NAME = "identity"

        /**
         * Returns the identity in [folder], or creates and stores one.
         *
         * @param isFounding true only when the whole cluster starts for the first time
         * @param seeds link addresses of the initial members
         */
        fun loadOrCreate(
            folder: Path,
            self: Address,
            seeds: List<Address>,
            isFounding: Boolean,
        ): MemberIdentity {
            Files.createDirectories(folder)
            val file = folder.resolve(FILE_NAME)
            if (Files.exists(file)) return WireJson.decodeFromString(Files.readString(file))
            val created =
                if (isFounding && self in seeds) {
                    MemberIdentity(founderId(self), seeds.map { MemberAddress(founderId(it), it) })
                } else {
                    joining(self)
                }
            store(folder, file, WireJson.encodeToString(created))
            return created
        }

        /** Replaces the identity in [folder] by that of a member that joins later. */
        fun renew(
            folder: Path,
            self: Address,
        ) = store(folder, folder.resolve(FILE_NAME), WireJson.encodeToString(joining(self)))

        /** Returns whether [folder] holds an identity. */
        fun existsIn(folder: Path): Boolean = Files.exists(folder.resolve(FILE_NAME))

        private fun joining(self: Address) = MemberIdentity(MemberId("${founderId(self)}-${IncarnationId.create()}"), emptyList())

        /** Derives the id from the address, so that founders know each other's ids from the seeds alone. */
        private fun founderId(address: Address) = MemberId("c-${address.host}")

        private fun store(
            folder: Path,
            file: Path,
            text: String,
        ) {
            val temporaryFile = folder.resolve("$FILE_NAME.new")
            FileChannel.open(temporaryFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING).use {
                it.write(ByteBuffer.wrap(text.encodeToByteArray()))
                it.force(true)
            }
            Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
            FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
        }
    }
}

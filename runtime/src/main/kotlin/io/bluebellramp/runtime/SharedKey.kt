package io.bluebellramp.runtime

import org.tinylog.kotlin.Logger
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.PosixFilePermission
import java.security.MessageDigest

/** The secret shared by operators and the processes of the system. It is sent as a bearer token. */
class SharedKey internal constructor(
    private val secret: String,
) {
    /** The value of the `Authorization` header. */
    val header: String get() = "Bearer $secret"

    /** Returns whether [header] carries this key. The comparison takes constant time. */
    fun matches(header: String?): Boolean = MessageDigest.isEqual(this.header.toByteArray(), header.orEmpty().toByteArray())

    companion object {
        private const val MIN_KEY_CHARACTERS = 16
        private val loopbackPattern = Regex("^127(\\.[0-9]{1,3}){3}$")
        private val forbiddenPermissions =
            setOf(
                PosixFilePermission.GROUP_READ,
                PosixFilePermission.GROUP_WRITE,
                PosixFilePermission.OTHERS_READ,
                PosixFilePermission.OTHERS_WRITE,
            )

        /**
         * Reads the key from [file], or returns null if [file] is null.
         *
         * @throws IllegalArgumentException if the file cannot be read, if its group or others may read or write it, if the key is too short,
         *   or if [file] is null and [listenHost] is not a loopback address
         */
        fun read(
            file: String?,
            listenHost: String,
        ): SharedKey? {
            if (file == null) {
                require(isLoopback(listenHost)) { "keyFile is required unless the process listens on loopback; it listens on $listenHost" }
                Logger.warn("authentication is off, because there is no keyFile and the process listens on loopback only")
                return null
            }
            val path = Path.of(file)
            require(Files.isReadable(path)) { "$file cannot be read" }
            require(Files.getPosixFilePermissions(path).none { it in forbiddenPermissions }) { "$file must be readable by its owner only" }
            val secret = Files.readString(path).trim()
            require(secret.length >= MIN_KEY_CHARACTERS) { "$file must hold at least $MIN_KEY_CHARACTERS characters" }
            return SharedKey(secret)
        }

        private fun isLoopback(host: String) = loopbackPattern.matches(host) || host == "localhost" || host == "::1" || host == "[::1]"
    }
}

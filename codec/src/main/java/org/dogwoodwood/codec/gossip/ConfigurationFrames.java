package org.dogwoodwood.codec.gossip;

import org.dogwoodwood.core.configuration.AcceptedConfiguration;

/**
 * Encodes and decodes the payloads of CONFIGURATION_REQUEST and CONFIGURATION_REPLY (frames 10 and
 * 11).
 */
public final class ConfigurationFrames {

    private static final int MAX_ID_BYTES = 255;
    private static final int MAX_DOCUMENT_BYTES = 5 << 20;

    private ConfigurationFrames() {}

    /** Encodes a request for the given version or any later one. */
    public static byte[] encodeRequest(long minVersion) {
        return Payloads.write(packer -> packer.packLong(minVersion));
    }

    /** Returns the lowest version that a request accepts. */
    public static long decodeRequest(byte[] payload) {
        return Payloads.read(payload, unpacker -> unpacker.unpackLong());
    }

    /** Encodes a reply with the given configuration. */
    public static byte[] encodeReply(AcceptedConfiguration configuration) {
        return Payloads.write(
                packer -> {
                    packer.packArrayHeader(4);
                    packer.packLong(configuration.version());
                    packer.packString(configuration.publicationId());
                    packer.packString(configuration.document());
                    packer.packLong(configuration.readThrough());
                });
    }

    /** Returns the configuration in a reply. */
    public static AcceptedConfiguration decodeReply(byte[] payload) {
        return Payloads.read(
                payload,
                unpacker -> {
                    Payloads.expectArrayHeader(unpacker, 4);
                    long version = unpacker.unpackLong();
                    String publicationId = Payloads.readString(unpacker, MAX_ID_BYTES);
                    String document = Payloads.readString(unpacker, MAX_DOCUMENT_BYTES);
                    return new AcceptedConfiguration(
                            version, publicationId, document, unpacker.unpackLong());
                });
    }
}

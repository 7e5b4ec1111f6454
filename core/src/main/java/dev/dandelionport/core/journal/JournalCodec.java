package dev.dandelionport.core.journal;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes journal batches and snapshot parts as MessagePack. A value is a sequence of its kind, the
 * header fields and the records. Each record is stored as a separate binary, so that it is encoded
 * only once and the size of a batch is known before the batch is assembled.
 */
public final class JournalCodec {

  /** Upper bound of the size of a value's header, in bytes. */
  public static final int MAX_HEADER_BYTES = 512;

  private static final int BATCH = 1;
  private static final int SNAPSHOT = 2;

  /** Size of the largest MessagePack header of one record, in bytes. */
  private static final int MAX_RECORD_HEADER_BYTES = 5;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .addMixIn(JournalRecord.class, TypedRecord.class)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  static {
    // The simple class name is the stored type id, so renaming a record class breaks existing
    // journals.
    for (Class<?> c : JournalRecord.class.getPermittedSubclasses()) {
      MAPPER.registerSubtypes(new NamedType(c, c.getSimpleName()));
    }
  }

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
  private interface TypedRecord {}

  private interface HeaderWriter {
    void write(MessageBufferPacker p) throws IOException;
  }

  private JournalCodec() {}

  /** Encodes one record. */
  public static byte[] encode(JournalRecord r) {
    try {
      return MAPPER.writerFor(JournalRecord.class).writeValueAsBytes(r);
    } catch (JsonProcessingException e) {
      throw new JournalException("cannot encode a journal record of " + r.job(), e);
    }
  }

  /** Returns the size of an encoded record within a value, including its header, in bytes. */
  public static int framedBytes(byte[] record) {
    return record.length + MAX_RECORD_HEADER_BYTES;
  }

  /** Encodes a batch whose records are already encoded. */
  public static byte[] encodeBatch(long number, long epoch, String writer, List<byte[]> records) {
    return encodeValue(
        BATCH,
        records,
        p -> {
          p.packLong(number);
          p.packLong(epoch);
          p.packString(writer);
        });
  }

  /** Encodes one part of a snapshot whose records are already encoded. */
  public static byte[] encodePart(
      long number, long epoch, String writer, int part, int parts, List<byte[]> records) {
    return encodeValue(
        SNAPSHOT,
        records,
        p -> {
          p.packLong(number);
          p.packLong(epoch);
          p.packString(writer);
          p.packInt(part);
          p.packInt(parts);
        });
  }

  private static byte[] encodeValue(int kind, List<byte[]> records, HeaderWriter header) {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packInt(kind);
      header.write(p);
      p.packArrayHeader(records.size());
      for (byte[] r : records) {
        p.packBinaryHeader(r.length);
        p.writePayload(r);
      }
      return p.toByteArray();
    } catch (IOException e) {
      throw new JournalException("cannot encode a journal value", e);
    }
  }

  /** Decodes a batch; fails with {@link JournalException} if the value is malformed. */
  public static JournalBatch decodeBatch(byte[] bytes) {
    try (MessageUnpacker u = openUnpacker(bytes, BATCH)) {
      return new JournalBatch(u.unpackLong(), u.unpackLong(), u.unpackString(), unpackRecords(u));
    } catch (IOException | MessagePackException e) {
      throw new JournalException("cannot decode a journal batch of " + bytes.length + " bytes", e);
    }
  }

  /** Decodes a snapshot part; fails with {@link JournalException} if the value is malformed. */
  public static SnapshotPart decodePart(byte[] bytes) {
    try (MessageUnpacker u = openUnpacker(bytes, SNAPSHOT)) {
      return new SnapshotPart(
          u.unpackLong(),
          u.unpackLong(),
          u.unpackString(),
          u.unpackInt(),
          u.unpackInt(),
          unpackRecords(u));
    } catch (IOException | MessagePackException e) {
      throw new JournalException("cannot decode a snapshot part of " + bytes.length + " bytes", e);
    }
  }

  private static MessageUnpacker openUnpacker(byte[] bytes, int expectedKind) throws IOException {
    MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes);
    int actualKind = u.unpackInt();
    if (actualKind != expectedKind) {
      throw new JournalException(
          "journal value is of kind " + actualKind + ", not " + expectedKind, null);
    }
    return u;
  }

  private static List<JournalRecord> unpackRecords(MessageUnpacker u) throws IOException {
    int n = u.unpackArrayHeader();
    List<JournalRecord> list = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      byte[] r = u.readPayload(u.unpackBinaryHeader());
      list.add(MAPPER.readValue(r, JournalRecord.class));
    }
    return list;
  }
}

package org.cuminspur.http.internal.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.cuminspur.store.StoreEntry;
import org.cuminspur.store.StoreLease;
import org.cuminspur.store.StoreRevision;
import org.cuminspur.store.StoreView;
import org.cuminspur.store.Txn;
import org.cuminspur.store.TxnResult;

/** Builds requests to the JSON gateway of etcd v3 and parses its replies; stateless and thread-safe. */
public final class EtcdJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EtcdJson() {}

    /** Returns a request for all keys with a prefix. */
    public static JsonNode rangeRequest(String prefix) {
        return putKeyRange(JSON.createObjectNode(), prefix);
    }

    /** Returns a watch of all keys with a prefix. */
    public static JsonNode watchRequest(String prefix, long startRevision) {
        ObjectNode root = JSON.createObjectNode();
        putKeyRange(root.putObject("create_request"), prefix).put("start_revision", Long.toString(startRevision));
        return root;
    }

    /** Returns a transaction. */
    public static JsonNode txnRequest(Txn txn) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode compares = root.putArray("compare");
        txn.compares()
                .forEach(compare -> compares.addObject()
                        .put("target", "MOD")
                        .put("result", "EQUAL")
                        .put("key", encode(compare.key()))
                        .put("mod_revision", Long.toString(compare.modRevision().number())));
        ArrayNode success = root.putArray("success");
        txn.puts()
                .forEach(put -> success.addObject()
                        .putObject("request_put")
                        .put("key", encode(put.key()))
                        .put("value", encode(put.value()))
                        .put("lease", Long.toString(put.lease().id())));
        txn.deletes()
                .forEach(key ->
                        success.addObject().putObject("request_delete_range").put("key", encode(key)));
        return root;
    }

    /** Returns a lease grant. */
    public static JsonNode leaseGrantRequest(long ttlSeconds) {
        return JSON.createObjectNode().put("TTL", Long.toString(ttlSeconds));
    }

    /** Returns a lease keep-alive. */
    public static JsonNode keepAliveRequest(StoreLease lease) {
        return JSON.createObjectNode().put("ID", Long.toString(lease.id()));
    }

    /** Parses the reply to a range request. */
    public static StoreView view(JsonNode reply) {
        return new StoreView(
                revision(reply), stream(reply.path("kvs")).map(EtcdJson::entry).toList());
    }

    /** Parses the reply to a transaction. */
    public static TxnResult txnResult(JsonNode reply) {
        return new TxnResult(reply.path("succeeded").asBoolean(false), revision(reply));
    }

    /** Parses the reply to a lease grant. */
    public static StoreLease lease(JsonNode reply) {
        return StoreLease.withoutEra(reply.path("ID").asLong());
    }

    /** Parses the reply to a lease keep-alive. */
    public static Long secondsLeft(JsonNode reply) {
        return reply.path("result").path("TTL").asLong(0);
    }

    /** Parses one message of a watch; a deleted key has an empty value. */
    public static StoreView watchedChanges(JsonNode message) {
        JsonNode result = message.path("result");
        List<StoreEntry> entries = stream(result.path("events"))
                .map(event -> entry(event.path("kv")))
                .toList();
        return new StoreView(revision(result), entries);
    }

    /** Parses JSON, or returns none if the bytes are not JSON. */
    public static Option<JsonNode> parse(byte[] bytes) {
        try {
            return Option.of(JSON.readTree(bytes));
        } catch (IOException e) {
            return Option.none();
        }
    }

    /** Serializes JSON. */
    public static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ObjectNode putKeyRange(ObjectNode node, String prefix) {
        char last = prefix.charAt(prefix.length() - 1);
        String end = prefix.substring(0, prefix.length() - 1) + (char) (last + 1);
        return node.put("key", encode(prefix)).put("range_end", encode(end));
    }

    private static StoreEntry entry(JsonNode kv) {
        return new StoreEntry(
                decode(kv.path("key").asText()),
                decode(kv.path("value").asText("")),
                StoreRevision.withoutEra(kv.path("mod_revision").asLong()));
    }

    private static StoreRevision revision(JsonNode reply) {
        return StoreRevision.withoutEra(reply.path("header").path("revision").asLong());
    }

    private static Stream<JsonNode> stream(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String text) {
        return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
    }
}

package org.cuminspur.internal.once;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.cuminspur.internal.once.ActionRecord.State;
import org.cuminspur.once.StoredAnswer;

/** Writes action records as JSON and reads them back; stateless and thread-safe. */
public final class RecordCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private RecordCodec() {}

    /** Returns the JSON form. */
    public static String format(ActionRecord record) {
        ObjectNode node = JSON.createObjectNode()
                .put("state", record.state().name())
                .put("attempt", record.attemptId())
                .put("fingerprint", record.fingerprint())
                .put("until", record.pendingUntilMillis());
        record.answer()
                .forEach(answer -> node.put("status", answer.status())
                        .put("type", answer.contentType())
                        .put("body", answer.body()));
        return node.toString();
    }

    /** Returns the parsed record, or none if the text is malformed. */
    public static Option<ActionRecord> parse(String text) {
        try {
            return fromJson(JSON.readTree(text));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Option.none();
        }
    }

    private static Option<ActionRecord> fromJson(JsonNode node) {
        State state = State.valueOf(node.path("state").asText());
        Option<StoredAnswer> answer = state == State.ANSWERED
                ? Option.of(new StoredAnswer(
                        node.path("status").asInt(),
                        node.path("type").asText(),
                        node.path("body").asText()))
                : Option.none();
        return Option.of(new ActionRecord(
                state,
                node.path("attempt").asText(),
                node.path("fingerprint").asText(),
                node.path("until").asLong(),
                answer));
    }
}

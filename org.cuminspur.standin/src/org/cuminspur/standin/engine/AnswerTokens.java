package org.cuminspur.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/** The tokens of one answer, determined by the request alone; immutable and thread-safe. */
final class AnswerTokens {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String word;
    private final int count;
    private final int promptTokens;
    private final int cachedTokens;

    AnswerTokens(JsonNode request, int count, int promptTokens, int cachedTokens) {
        JsonNode messages = request.path("messages");
        this.word = word(messages.path(messages.size() - 1).path("content").asText(""));
        this.count = count;
        this.promptTokens = promptTokens;
        this.cachedTokens = cachedTokens;
    }

    /** Returns the word that the tokens of an answer to a message start with. */
    static String word(String message) {
        return "t" + Integer.toHexString(message.hashCode());
    }

    int count() {
        return count;
    }

    /** Returns the position of the token to start with: the one after the last event id, or 0 without one. */
    int firstPosition(String lastEventId) {
        return lastEventId == null ? 0 : Integer.parseInt(lastEventId) + 1;
    }

    byte[] chunkEvent(int position) {
        ObjectNode chunk = JSON.createObjectNode().put("object", "chat.completion.chunk");
        chunk.putArray("choices").addObject().put("index", 0).putObject("delta").put("content", token(position));
        return bytes("id: " + position + "\ndata: " + chunk + "\n\n");
    }

    byte[] endEvents() {
        ObjectNode chunk = JSON.createObjectNode().put("object", "chat.completion.chunk");
        chunk.putArray("choices");
        chunk.set("usage", usage());
        return bytes("data: " + chunk + "\n\ndata: [DONE]\n\n");
    }

    ObjectNode completion() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(token(i));
        }
        ObjectNode root = JSON.createObjectNode().put("object", "chat.completion");
        root.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("finish_reason", "stop")
                .putObject("message")
                .put("role", "assistant")
                .put("content", text.toString());
        root.set("usage", usage());
        return root;
    }

    private String token(int position) {
        return word + "-" + position + " ";
    }

    private ObjectNode usage() {
        ObjectNode usage = JSON.createObjectNode()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", count)
                .put("total_tokens", promptTokens + count);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        return usage;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}

package org.cuminspur.router;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.cuminspur.event.EventSink;
import org.cuminspur.time.Clock;
import org.slf4j.LoggerFactory;

/**
 * Writes events to standard output as JSON, one a line.
 *
 * <p>Thread-safe. Lines wait in a bounded queue for a thread of their own; a line that finds it full is dropped and
 * counted, and the next line that finds room tells how many were.
 */
public final class JsonEventLog implements EventSink {
    /** Lines that may wait; a few seconds of an instance's usual traffic. */
    private static final int QUEUE_LINES = 2_048;

    /** Frames of a library's error that a line holds; enough to reach this project's code. */
    private static final int MOST_FRAMES = 16;

    /** Name of the logger of this process's own events. */
    private static final String EVENTS = "events";

    private static final JsonFactory JSON = new JsonFactory();

    private final Clock wall;
    private final AsyncAppender queue;
    private final Logger logger;
    private final AtomicLong dropped = new AtomicLong();

    private JsonEventLog(Clock wall, LoggerContext context) {
        this.wall = wall;
        queue = queue(context);
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.detachAndStopAllAppenders();
        root.setLevel(Level.WARN);
        root.addAppender(queue);
        logger = context.getLogger(EVENTS);
        logger.setLevel(Level.INFO);
    }

    /** Sets the process's log up; what libraries log goes to the same place. */
    public static JsonEventLog install() {
        return new JsonEventLog(java.time.Clock.systemUTC()::millis, (LoggerContext) LoggerFactory.getILoggerFactory());
    }

    @Override
    public void emit(String event, Object... fields) {
        if (queue.getRemainingCapacity() == 0) {
            dropped.incrementAndGet();
            return;
        }
        logger.info(line(event, fields));
    }

    /** Writes what still waits. */
    public void close() {
        queue.stop();
    }

    private String line(String event, Object... fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("time", wall.millis());
            json.writeStringField("event", event);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                json.writeFieldName((String) fields[i]);
                value(json, fields[i + 1]);
            }
            if (dropped.get() > 0) {
                json.writeNumberField("droppedLines", dropped.get());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void value(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Long number) {
            json.writeNumber(number);
        } else if (value instanceof Integer number) {
            json.writeNumber(number);
        } else if (value instanceof Double number) {
            json.writeNumber(Math.rint(number * 1_000) / 1_000);
        } else if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else {
            json.writeString(String.valueOf(value));
        }
    }

    private AsyncAppender queue(LoggerContext context) {
        LineEncoder encoder = new LineEncoder();
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_LINES);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(console);
        queue.start();
        return queue;
    }

    /**
     * Writes events as they are, and what libraries log as events of their own; thread-safe.
     *
     * <p>A pattern would be parsed at each start.
     */
    private final class LineEncoder extends EncoderBase<ILoggingEvent> {
        private static final byte[] NOTHING = new byte[0];

        @Override
        public byte[] headerBytes() {
            return NOTHING;
        }

        @Override
        public byte[] encode(ILoggingEvent event) {
            String text = event.getLoggerName().equals(EVENTS) ? event.getFormattedMessage() : ofLibrary(event);
            return (text + "\n").getBytes(StandardCharsets.UTF_8);
        }

        private String ofLibrary(ILoggingEvent event) {
            IThrowableProxy error = event.getThrowableProxy();
            return line(
                    "library",
                    "level",
                    event.getLevel().toString(),
                    "logger",
                    event.getLoggerName(),
                    "message",
                    event.getFormattedMessage(),
                    "error",
                    error == null ? "" : error.getClassName() + ": " + error.getMessage(),
                    "at",
                    error == null ? "" : frames(error));
        }

        private static String frames(IThrowableProxy error) {
            return Arrays.stream(error.getStackTraceElementProxyArray())
                    .limit(MOST_FRAMES)
                    .map(StackTraceElementProxy::getStackTraceElement)
                    .map(StackTraceElement::toString)
                    .collect(Collectors.joining(" < "));
        }

        @Override
        public byte[] footerBytes() {
            return NOTHING;
        }
    }
}

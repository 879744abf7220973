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
 * Writes events to standard output as JSON, one per line.
 *
 * <p>Thread-safe. A background thread writes the lines from a bounded queue. A line that finds the queue full is
 * dropped and counted; later lines report the total.
 */
public final class JsonEventLog implements EventSink {
    /** Lines that the queue holds: a few seconds of an instance's usual traffic. */
    private static final int QUEUE_CAPACITY = 2_048;

    /** Stack frames logged for a library's error; enough to reach this project's code. */
    private static final int MAX_STACK_FRAMES = 16;

    /** Name of the logger of this process's own events. */
    private static final String EVENT_LOGGER = "events";

    private static final JsonFactory JSON = new JsonFactory();

    private final Clock wallClock;
    private final AsyncAppender queue;
    private final Logger logger;
    private final AtomicLong dropped = new AtomicLong();

    private JsonEventLog(Clock wallClock, LoggerContext context) {
        this.wallClock = wallClock;
        queue = startQueue(context);
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.detachAndStopAllAppenders();
        root.setLevel(Level.WARN);
        root.addAppender(queue);
        logger = context.getLogger(EVENT_LOGGER);
        logger.setLevel(Level.INFO);
    }

    /** Replaces the root logger's appenders, so that libraries log to the same output. */
    public static JsonEventLog install() {
        return new JsonEventLog(java.time.Clock.systemUTC()::millis, (LoggerContext) LoggerFactory.getILoggerFactory());
    }

    @Override
    public void emit(String event, Object... fields) {
        if (queue.getRemainingCapacity() == 0) {
            dropped.incrementAndGet();
            return;
        }
        logger.info(formatLine(event, fields));
    }

    /** Writes the queued lines and stops the background thread. */
    public void close() {
        queue.stop();
    }

    private String formatLine(String event, Object... fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("time", wallClock.millis());
            json.writeStringField("event", event);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                json.writeFieldName((String) fields[i]);
                writeValue(json, fields[i + 1]);
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

    private static void writeValue(JsonGenerator json, Object value) throws IOException {
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

    private AsyncAppender startQueue(LoggerContext context) {
        LineEncoder encoder = new LineEncoder();
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_CAPACITY);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(console);
        queue.start();
        return queue;
    }

    /**
     * Writes events unchanged, and log records of libraries as {@code library} events; thread-safe.
     *
     * <p>Used instead of a pattern layout, which would be parsed at each start.
     */
    private final class LineEncoder extends EncoderBase<ILoggingEvent> {
        private static final byte[] EMPTY = new byte[0];

        @Override
        public byte[] headerBytes() {
            return EMPTY;
        }

        @Override
        public byte[] encode(ILoggingEvent event) {
            String text = event.getLoggerName().equals(EVENT_LOGGER) ? event.getFormattedMessage() : libraryLine(event);
            return (text + "\n").getBytes(StandardCharsets.UTF_8);
        }

        private String libraryLine(ILoggingEvent event) {
            IThrowableProxy error = event.getThrowableProxy();
            return formatLine(
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
                    error == null ? "" : stackFrames(error));
        }

        private static String stackFrames(IThrowableProxy error) {
            return Arrays.stream(error.getStackTraceElementProxyArray())
                    .limit(MAX_STACK_FRAMES)
                    .map(StackTraceElementProxy::getStackTraceElement)
                    .map(StackTraceElement::toString)
                    .collect(Collectors.joining(" < "));
        }

        @Override
        public byte[] footerBytes() {
            return EMPTY;
        }
    }
}

package org.cuminspur.internal.config;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;
import org.cuminspur.control.Order;
import org.cuminspur.control.Target;

/** Encodes an order as one line of text and decodes it; stateless and thread-safe. */
public final class OrderCodec {
    private static final int FIELDS = 4;

    private OrderCodec() {}

    /** Returns the text form: generation, state, target and who gave it. */
    public static String format(Order order) {
        return order.generation() + " " + (order.out() ? "out" : "in") + " "
                + order.target().label() + " " + order.by();
    }

    /** Returns the order of a text form, or empty if it is malformed. */
    public static Optional<Order> parse(String text) {
        String[] fields = text.split(" ", FIELDS);
        if (fields.length < FIELDS || !fields[0].matches("[0-9]{1,18}")) {
            return Optional.empty();
        }
        return Target.parse(fields[2])
                .map(target -> new Order(target, Long.parseLong(fields[0]), fields[1].equals("out"), fields[3]))
                .toJavaOptional();
    }

    /** Returns a hash over orders that does not depend on their sequence. */
    public static long hash(Stream<Order> orders) {
        return orders.mapToLong(
                        order -> LongHashFunction.xx().hashBytes(format(order).getBytes(StandardCharsets.UTF_8)))
                .sum();
    }
}

package org.cuminspur.control;

import io.vavr.control.Option;
import org.cuminspur.store.StoreKeys;

/**
 * What an operator takes out of service or brings back; immutable.
 *
 * @param kind whether the name is a failure domain's or an upstream's
 */
public record Target(Kind kind, String name) implements Comparable<Target> {
    /** The kinds of target. */
    public enum Kind {
        DOMAIN,
        UPSTREAM
    }

    /** Returns the text form, such as {@code domain/verona}. */
    public String label() {
        return (kind == Kind.DOMAIN ? "domain/" : "upstream/") + name;
    }

    /** Returns the key that holds the target's order in the platform's store. */
    public String storeKey() {
        return StoreKeys.ORDER_PREFIX + label();
    }

    /** Parses a text form; empty if its kind is unknown. */
    public static Option<Target> parse(String label) {
        int slash = label.indexOf('/');
        String name = label.substring(slash + 1);
        return switch (label.substring(0, Math.max(slash, 0))) {
            case "domain" -> Option.of(new Target(Kind.DOMAIN, name));
            case "upstream" -> Option.of(new Target(Kind.UPSTREAM, name));
            default -> Option.none();
        };
    }

    @Override
    public int compareTo(Target other) {
        return label().compareTo(other.label());
    }
}

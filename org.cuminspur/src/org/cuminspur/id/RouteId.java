package org.cuminspur.id;

/**
 * Names a route.
 *
 * <p>Immutable, with value equality; safe to share between threads.
 *
 * @param value the name, never blank
 */
public record RouteId(String value) implements Comparable<RouteId> {
    public RouteId {
        IdValidation.requireNonBlank(value);
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

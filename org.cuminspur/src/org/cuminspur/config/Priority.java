package org.cuminspur.config;

/** The priorities of requests, most urgent first; immutable. */
public enum Priority {
    HIGH,
    NORMAL,
    LOW
}

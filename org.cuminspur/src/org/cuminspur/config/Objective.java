package org.cuminspur.config;

/**
 * A service-level objective; immutable.
 *
 * @param targetShare share of requests that must be good, from 0 to 1
 * @param firstTokenMillis bound on the time to the first byte of the answer
 * @param betweenTokensMillis bound on the mean time between tokens of one answer
 */
public record Objective(double targetShare, long firstTokenMillis, long betweenTokensMillis) {}

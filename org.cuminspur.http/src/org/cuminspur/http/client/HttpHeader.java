package org.cuminspur.http.client;

/** One header line; immutable. */
public record HttpHeader(String name, String value) {}

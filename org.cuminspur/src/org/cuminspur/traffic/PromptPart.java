package org.cuminspur.traffic;

/**
 * A part of a prompt that requests may share; immutable.
 *
 * @param hash hash of the part's content
 */
public record PromptPart(long hash, int tokens) {}

package org.cuminspur.config;

import org.cuminspur.id.Revision;

/**
 * One published file; immutable.
 *
 * @param revision the revision that last changed the file
 * @param text the file's INI text
 */
public record ConfigFile(Revision revision, String text) {}

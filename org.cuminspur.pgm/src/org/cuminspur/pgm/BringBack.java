package org.cuminspur.pgm;

import com.beust.jcommander.Parameters;

/** Brings a failure domain or an upstream back into service; used by one thread. */
@Parameters(commandDescription = "Bring a failure domain or an upstream back into service")
final class BringBack extends OrderCommand {
    BringBack() {
        super(false);
    }
}

package org.cuminspur.pgm;

import com.beust.jcommander.Parameters;

/** Takes a failure domain or an upstream out of service; used by one thread. */
@Parameters(commandDescription = "Take a failure domain or an upstream out of service")
final class TakeOut extends OrderCommand {
    TakeOut() {
        super(true);
    }
}

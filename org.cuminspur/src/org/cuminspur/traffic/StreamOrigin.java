package org.cuminspur.traffic;

import org.cuminspur.id.ServiceId;
import org.cuminspur.id.SoftwareVersion;

/** The service and the software version at which a stream began, and so the only ones at which it may go on; immutable. */
public record StreamOrigin(ServiceId service, SoftwareVersion version) {}

package org.amaranthmoor.config;

import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;

/**
 * A target that an accepted release note admits to a service.
 *
 * <p>It has no address, because the node of the target announces the address. Immutable and safe
 * for use by several threads.
 *
 * @param name the target
 * @param revision the note that last changed it
 * @param service the service that the target is admitted to
 */
public record TargetSpec(TargetName name, NoteId revision, ServiceName service) {}

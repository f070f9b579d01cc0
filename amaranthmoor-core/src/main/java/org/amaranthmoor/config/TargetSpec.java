package org.amaranthmoor.config;

import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;

/**
 * A target that accepted release notes admit to a service.
 *
 * <p>Its address is not part of it: the target announces that itself. Immutable and safe for use by
 * several threads.
 *
 * @param name the target
 * @param revision the note that last changed it
 * @param service the service it serves
 */
public record TargetSpec(TargetName name, NoteId revision, ServiceName service) {}

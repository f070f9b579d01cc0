package org.amaranthmoor.daemon.target;

import java.util.List;
import org.amaranthmoor.target.SuspectRequest;

/** Is told what this node learns about requests that may crash targets. Must not block. */
public interface CrashListener {

  /**
   * Called when the target beside this node has crashed, before the callers of its requests get
   * their outcomes.
   *
   * @param suspects the requests that were in progress, with their new suspicions
   */
  void onCrash(List<SuspectRequest> suspects);

  /** Called when a target has answered a request that was quarantined. */
  void onQuarantineLifted();
}

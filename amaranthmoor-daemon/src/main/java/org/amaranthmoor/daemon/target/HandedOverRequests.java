package org.amaranthmoor.daemon.target;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthmoor.daemon.exchange.CallRequest;

/**
 * The requests that were handed over to the target and have not ended.
 *
 * <p>Safe for use by several threads.
 */
final class HandedOverRequests {

  /** A request that was handed over. Compared by identity, as a request may be repeated. */
  static final class HandedOver {

    private final CallRequest request;
    private final LocalTarget.Destination destination;
    private final long startNanos;

    HandedOver(CallRequest request, LocalTarget.Destination destination, long startNanos) {
      this.request = request;
      this.destination = destination;
      this.startNanos = startNanos;
    }

    CallRequest request() {
      return request;
    }

    LocalTarget.Destination destination() {
      return destination;
    }

    long startNanos() {
      return startNanos;
    }
  }

  private final Set<HandedOver> requests = ConcurrentHashMap.newKeySet();

  void add(HandedOver request) {
    requests.add(request);
  }

  /** {@return whether the request was still recorded} */
  boolean remove(HandedOver request) {
    return requests.remove(request);
  }

  boolean contains(HandedOver request) {
    return requests.contains(request);
  }

  /** Removes and returns all requests that were handed over to a destination. */
  List<HandedOver> removeAll(LocalTarget.Destination destination) {
    List<HandedOver> found =
        requests.stream().filter(request -> request.destination().equals(destination)).toList();
    return found.stream().filter(requests::remove).toList();
  }
}

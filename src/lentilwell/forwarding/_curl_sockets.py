"""Runs curl transfers on the selector of the transfer thread, by pycurl's multi interface."""

from __future__ import annotations

import selectors

import pycurl

from lentilwell._clock import Clock

# The data of the selector's keys that belong to curl.
CURL_KEY = "curl"


class CurlSockets:
    """Registers curl's sockets and keeps its timer. All methods run in the transfer thread."""

    def __init__(self, clock: Clock, selector: selectors.BaseSelector) -> None:
        self._clock = clock
        self._selector = selector
        self._timer_at: int | None = None
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._update_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)

    def add(self, curl: pycurl.Curl) -> None:
        """Start a transfer."""
        self._multi.add_handle(curl)

    def remove(self, curl: pycurl.Curl) -> None:
        """End a transfer and close its handle. Not allowed in a callback of curl."""
        self._multi.remove_handle(curl)
        curl.close()

    def handle_socket(self, fd: int, mask: int) -> None:
        """Let curl read from or write to a socket that is ready."""
        flags = pycurl.CSELECT_IN if mask & selectors.EVENT_READ else 0
        flags |= pycurl.CSELECT_OUT if mask & selectors.EVENT_WRITE else 0
        self._multi.socket_action(fd, flags)

    def find_timeout_ms(self) -> int | None:
        """Return the time until ``run_timer`` must be called, or None if curl waits for none."""
        return None if self._timer_at is None else max(0, self._timer_at - self._clock.now())

    def run_timer(self) -> None:
        """Let curl handle its timeouts if its timer has expired."""
        if self._timer_at is not None and self._clock.now() >= self._timer_at:
            self._timer_at = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def collect_ended(self) -> list[tuple[pycurl.Curl, int | None]]:
        """Return the transfers that have ended, each with its error code or None."""
        ended: list[tuple[pycurl.Curl, int | None]] = []
        queued = 1
        while queued:
            queued, completed, failed = self._multi.info_read()
            ended += [(curl, None) for curl in completed]
            ended += [(curl, code) for curl, code, _message in failed]
        return ended

    def _update_socket(self, action: int, fd: int, _multi: pycurl.CurlMulti, _data: object) -> None:
        registered = fd in self._selector.get_map()
        if action == pycurl.POLL_REMOVE:
            if registered:
                self._selector.unregister(fd)
            return
        mask = selectors.EVENT_READ if action in (pycurl.POLL_IN, pycurl.POLL_INOUT) else 0
        mask |= selectors.EVENT_WRITE if action in (pycurl.POLL_OUT, pycurl.POLL_INOUT) else 0
        if not mask:
            if registered:
                self._selector.unregister(fd)
        elif registered:
            self._selector.modify(fd, mask, CURL_KEY)
        else:
            self._selector.register(fd, mask, CURL_KEY)

    def _set_timer(self, timeout_ms: int) -> None:
        self._timer_at = None if timeout_ms < 0 else self._clock.now() + timeout_ms

"""A stand-in of the provider that takes usage reports and server orders. It keeps all calls that it has received."""

import collections
import dataclasses
import http.server
import json
import threading
import time


@dataclasses.dataclass
class Call:
    """A call, as far as the provider has carried it out."""

    at: float
    path: str
    holder: str
    token: int
    body: str
    # 0 when the caller got no answer.
    status: int
    is_done: bool

    @property
    def content(self):
        return json.loads(self.body)

    @property
    def subject(self):
        if self.path == "/usage":
            return self.path
        return (self.path,) + tuple(self.content.get(name) for name in ("service", "zone", "spot"))


class FakeProvider:
    """Answers 409 to a token below one that it has seen for the subject, and 429 above its rate.

    `slow_s` delays answers. `is_down` closes connections without an answer. `late_s` is the time after which a call is
    carried out and its connection is closed without an answer.
    """

    RATE_TIME_S = 1.0

    def __init__(self, calls_per_s, checks_tokens):
        self.calls_per_s = calls_per_s
        self.checks_tokens = checks_tokens
        self.slow_s = 0.0
        self.late_s = 0.0
        self.is_down = False
        self.calls = []
        self.tokens = collections.defaultdict(int)
        self.lock = threading.Lock()
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                owner.answer(self)

        self.http = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.http.daemon_threads = True
        self.port = self.http.server_address[1]
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def answer(self, request):
        body = request.rfile.read(int(request.headers.get("Content-Length") or 0)).decode()
        call = Call(time.time(), request.path, request.headers.get("Duty-Holder", ""),
                    int(request.headers.get("Fencing-Token") or 0), body, 0, False)
        late_s = self.late_s
        if late_s:
            time.sleep(late_s)
        with self.lock:
            self.calls.append(call)
            if self.is_down:
                request.close_connection = True
                return
            status = self._carry_out(call)
            if late_s:
                request.close_connection = True
                return
            call.status = status
        time.sleep(self.slow_s)
        request.send_response(status)
        request.send_header("Content-Length", "0")
        request.end_headers()

    def _carry_out(self, call):
        recent = [other for other in self.calls if call.at - self.RATE_TIME_S < other.at <= call.at]
        if len(recent) > self.calls_per_s * self.RATE_TIME_S:
            return 429
        if self.checks_tokens and call.token < self.tokens[call.subject]:
            return 409
        self.tokens[call.subject] = max(self.tokens[call.subject], call.token)
        call.is_done = True
        return 200

    def usage_calls(self):
        with self.lock:
            return [call for call in self.calls if call.path == "/usage"]

    def reported(self):
        """@return The contents that were carried out, as counts by account, by window."""
        contents = collections.defaultdict(list)
        for call in self.usage_calls():
            if call.is_done and call.content["counts"] not in contents[call.content["window"]]:
                contents[call.content["window"]].append(call.content["counts"])
        return contents

    def faults(self):
        """@return What no provider may ever see, as text: two contents for a window, a token of two holders."""
        texts = [f"window {window} has {len(contents)} contents: {contents}"
                 for window, contents in self.reported().items() if len(contents) > 1]
        holders = collections.defaultdict(set)
        with self.lock:
            for call in self.calls:
                holders[call.token].add(call.holder)
        return texts + [f"token {token} of {sorted(names)}" for token, names in holders.items() if len(names) > 1]

    def most_calls_in_a_second(self):
        with self.lock:
            times = sorted(call.at for call in self.calls)
        return max((sum(at <= other < at + self.RATE_TIME_S for other in times) for at in times), default=0)

    def close(self):
        self.http.shutdown()
        self.http.server_close()

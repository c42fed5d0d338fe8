#!/usr/bin/env bash
# Runs a program of several dependent calls against `gentianrun dev` and checks
# each step. Usage: tools/demo.sh BUILD_DIR
set -u
binary=$1/gentianrun
work=$(mktemp -d)
daemon=""
failures=0

finish() {
  [ -n "$daemon" ] && kill -KILL "$daemon" 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

step() { printf '\n== %s\n' "$1"; }
show() { sed 's/^/   /' "$1"; }

# check DESCRIPTION COMMAND...
check() {
  local description=$1
  shift
  if "$@"; then
    echo "   ok: $description"
  else
    echo "   FAILED: $description"
    failures=$((failures + 1))
  fi
}

# field NAME FILE: the first value of a JSON field, text or number.
field() {
  grep -o "\"$1\":\(\"[^\"]*\"\|[0-9]*\)" "$2" | head -1 |
    sed -E "s/^\"$1\"://; s/^\"(.*)\"\$/\1/"
}

# call OUTPUT METHOD PATH [CURL OPTIONS...]: sends a request with the key;
# prints the status.
call() {
  local output=$1 method=$2 path=$3
  shift 3
  curl -s --max-time 20 -o "$output" -w '%{http_code}' -X "$method" \
    -H "Authorization: Bearer $key" "$@" "$address$path"
}

# The text of a streamed answer.
stream_text() {
  grep -o '"content":"[^"]*"' "$1" | sed 's/^"content":"//; s/"$//' |
    tr -d '\n'
}

holds() { grep -q -- "$1" "$2"; }
equal() { [ "$1" = "$2" ] || { echo "   '$1' is not '$2'"; false; }; }

step "Start: one daemon with fakes of the key-value service, engines, tools"
"$binary" dev --address 127.0.0.1:0 >"$work/dev.out" 2>"$work/dev.err" &
daemon=$!
for _ in $(seq 100); do
  grep -q '^ready' "$work/dev.out" && break
  sleep 0.05
done
show "$work/dev.out" | sed -E 's/(key: .{8}).*/\1…/'
address=$(sed -n 's/^address: //p' "$work/dev.out")
key=$(sed -n 's/^key: //p' "$work/dev.out")
tools=$(sed -n 's/^tools: //p' "$work/dev.out")
check "the daemon is ready" test -n "$address"
for _ in $(seq 100); do
  status=$(call "$work/probe" POST /v1/sessions -d '{"program":"assistant"}')
  [ "$status" = 200 ] && break
  sleep 0.05
done

step "The team's key opens the door, another does not"
status=$(key=wrong call "$work/answer" POST /v1/sessions \
  -d '{"program":"assistant"}')
show "$work/answer"; echo
check "a wrong key is refused with 401" equal "$status" 401

step "Addresses that callers may connect to"
status=$(call "$work/answer" GET /v1/addresses)
show "$work/answer"; echo
check "there is an address list" holds '"addresses":\["127' "$work/answer"

step "Open a session"
status=$(call "$work/answer" POST /v1/sessions \
  -d '{"program":"assistant","budget":{"tokens":20000,"calls":20}}')
show "$work/answer"; echo
session=$(field id "$work/answer")
check "the session has an id" test -n "$session"

step "Call 1: a model call"
status=$(call "$work/answer" POST /v1/chat/completions \
  -H "X-Session: $session" \
  -d '{"messages":[{"role":"user","content":"plan a trip to Alpweg"}]}')
show "$work/answer"; echo
check "the answer is a chat completion" \
  holds 'You said: plan a trip to Alpweg' "$work/answer"
tokens=$(field prompt_tokens "$work/answer")

step "Call 2: depends on call 1, streamed"
curl -sN --max-time 20 -H "Authorization: Bearer $key" \
  -H "X-Session: $session" -H 'X-Sequence: 2' \
  -d '{"stream":true,"messages":[{"role":"user","content":"shorter please"}]}' \
  "$address/v1/chat/completions" >"$work/stream"
show "$work/stream"
check "the stream carries the whole text" \
  equal "$(stream_text "$work/stream")" "You said: shorter please"
check "the stream ends with [DONE]" holds 'data: \[DONE\]' "$work/stream"
check "the engine got the history of call 1 too" \
  test "$(field prompt_tokens "$work/stream")" -gt "$tokens"

step "Call 3: a tool call that may not be repeated, sent twice"
for i in 1 2; do
  status=$(call "$work/tool$i" POST "/v1/sessions/$session/tools/book" \
    -H 'Idempotency-Key: booking-1' -d '{"pass":"day"}')
  show "$work/tool$i"; echo
  check "request $i is answered with 200" equal "$status" 200
done
check "both answers are the same" cmp -s "$work/tool1" "$work/tool2"
curl -s "$tools/executions" >"$work/executions"
check "the tool ran once" equal "$(field total "$work/executions")" 1

step "The same idempotency key with another body"
status=$(call "$work/answer" POST "/v1/sessions/$session/tools/book" \
  -H 'Idempotency-Key: booking-1' -d '{"pass":"season"}')
show "$work/answer"; echo
check "it is refused with 422" equal "$status" 422

step "A sub-agent: its budget comes from its parent's"
status=$(call "$work/answer" POST /v1/sessions \
  -d "{\"program\":\"assistant\",\"parent\":\"$session\",\"budget\":{\"tokens\":5000,\"calls\":3,\"cost_micros\":100000}}")
show "$work/answer"; echo
child=$(field id "$work/answer")
check "the sub-agent has a session" test -n "$child"
status=$(call "$work/answer" POST /v1/chat/completions -H "X-Session: $child" \
  -d '{"max_tokens":50,"messages":[{"role":"user","content":"check the snow"}]}')
show "$work/answer"; echo
check "the sub-agent's call is answered" \
  holds 'You said: check the snow' "$work/answer"
status=$(call "$work/answer" DELETE "/v1/sessions/$child")
check "the sub-agent ends" equal "$status" 200

step "A refusal with its reason: the budget is spent"
status=$(call "$work/answer" POST /v1/sessions \
  -d '{"program":"assistant","budget":{"tokens":5000,"calls":1}}')
small=$(field id "$work/answer")
for expected in 200 402; do
  status=$(call "$work/answer" POST /v1/chat/completions \
    -H "X-Session: $small" \
    -d '{"max_tokens":20,"messages":[{"role":"user","content":"loop"}]}')
  check "the call gives $expected" equal "$status" "$expected"
done
show "$work/answer"; echo
check "the reason is budget_spent and the call was not run" \
  holds '"kind":"budget_spent".*"outcome":"not_run"' "$work/answer"

step "A stream that breaks and is resumed by event id"
curl -sN --max-time 0.5 -H "Authorization: Bearer $key" \
  -H "X-Session: $session" -H 'X-Sequence: 4' \
  -d '{"stream":true,"messages":[{"role":"user","content":"words=100"}]}' \
  "$address/v1/chat/completions" >"$work/first"
last=$(sed -n 's/^id: //p' "$work/first" | tail -1)
last=${last:-0}
echo "   connection closed after event $last"
check "the connection broke before the end" test "${last:-0}" -lt 100
curl -sN --max-time 20 -H "Authorization: Bearer $key" \
  -H "Last-Event-ID: $last" \
  "$address/v1/sessions/$session/calls/4/events" >"$work/second"
sed -n '1,2p' "$work/second" | sed 's/^/   /'
echo "   …"
tail -3 "$work/second" | sed 's/^/   /'
check "the second part starts after the first" \
  equal "$(sed -n 's/^id: //p' "$work/second" | head -1)" "$((last + 1))"
expected=$(seq -s' ' -f 'w%g' 100)
check "both parts together are the whole answer" \
  equal "$(stream_text "$work/first")$(stream_text "$work/second")" "$expected"

step "The history of the session"
status=$(call "$work/answer" GET "/v1/sessions/$session/history")
cut -c1-300 "$work/answer" | sed 's/^/   /'
echo "   …"
check "it has four calls in order" equal \
  "$(grep -o '"call":[0-9]*' "$work/answer" | cut -d: -f2 | tr '\n' ' ')" \
  "1 2 3 4 "

step "A graceful stop while an answer is being streamed"
curl -sN --max-time 20 -H "Authorization: Bearer $key" \
  -H "X-Session: $session" \
  -d '{"stream":true,"messages":[{"role":"user","content":"words=100"}]}' \
  "$address/v1/chat/completions" >"$work/last" &
caller=$!
sleep 0.3
kill -TERM "$daemon"
wait "$caller"
check "the answer is not cut off" \
  equal "$(stream_text "$work/last")" "$expected"
wait "$daemon"
check "the daemon exits with 0" equal "$?" 0
daemon=""

if [ "$failures" -gt 0 ]; then
  printf '\n%s checks failed; log of the daemon:\n' "$failures"
  tail -20 "$work/dev.err"
  exit 1
fi
printf '\nEvery step did what it should.\n'

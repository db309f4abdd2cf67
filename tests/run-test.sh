#!/bin/bash
# Tests run.sh with a stand-in for cargo. The stand-in has the tests `good`, `bad` and `flaky::one`; only `bad` fails.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
cat >"$folder/cargo" <<'CARGO'
#!/bin/bash
tests=(good bad flaky::one)
while [ "$1" != -- ]; do shift; done
shift
if [ "$1" = --list ]; then printf '%s: test\n' "${tests[@]}"; exit; fi
shift
status=0
is_selected() {
    local only=() skipped=() arg
    while [ $# -gt 1 ]; do
        if [ "$2" = --skip ]; then skipped+=("$3"); set -- "$1" "${@:4}"; else only+=("$2"); set -- "$1" "${@:3}"; fi
    done
    for arg in ${skipped[@]+"${skipped[@]}"}; do [ "$arg" != "$1" ] || return 1; done
    [ ${#only[@]} -gt 0 ] || return 0
    for arg in "${only[@]}"; do [ "$arg" != "$1" ] || return 0; done
    return 1
}
for name in "${tests[@]}"; do
    is_selected "$name" "$@" || continue
    if [ "$name" = bad ]; then echo "test $name ... FAILED"; status=101; else echo "test $name ... ok"; fi
done
exit $status
CARGO
chmod +x "$folder/cargo"
# Arguments: the content of the known-failures file, whether run.sh must succeed (yes or no), and a text it must print.
check() {
    printf '%s' "$1" >"$folder/known"
    local passed=yes
    PATH="$folder:$PATH" KNOWN_RED="$folder/known" bash "$here/run.sh" >"$folder/out" 2>&1 || passed=no
    if [ "$passed" != "$2" ] || ! grep -qF "$3" "$folder/out"; then
        echo "run.sh with '$1': passed: $passed, expected: $2; expected the text '$3' in this output:" >&2
        cat "$folder/out" >&2
        exit 1
    fi
}
check '' no 'test bad ... FAILED'
check $'bad | a command | seen | 1\n' yes 'test bad ... FAILED'
check $'bad | a command | seen | 1' yes 'known failures: still failing'
check $'bad | a command | seen | 1\nflaky::one | a command | seen | 2\n' yes 'test flaky::one ... ok'
check $'bad | c | s | 1\ngood | c | s | 1\nflaky::one | c | s | 1\n' yes 'test good ... ok'
check $'good | a command | seen | 1\n' no 'test bad ... FAILED'
check $'ba | a command | seen | 1\n' no 'no test is named ba'
check $'one | a command | seen | 1\n' no 'no test is named one'
check $'bad\n' no 'four fields'
check $'bad | a command |\n' no 'four fields'
check $'bad | a command | seen |\n' no 'four fields'
check $'bad | | seen | 1\n' no 'four fields'
rm "$folder/known"
if PATH="$folder:$PATH" KNOWN_RED="$folder/none" bash "$here/run.sh" >/dev/null 2>&1; then
    echo "run.sh ignores a failing test if the known-failures file is missing" >&2
    exit 1
fi
echo "13 passed, 0 failed"

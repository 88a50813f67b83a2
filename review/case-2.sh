# Sourced by review/N/run.sh: runs the driver of a case, in a temporary folder, and ends all that it has started.
# CASE_DRIVER names the driver. The verdict: 1 the rule was broken, 0 it held, 2 the case could not run.
CASE_FOLDER=$(cd "$(dirname "$0")" && pwd)
CASE_ROOT=$(cd "$CASE_FOLDER/../.." && pwd)
CASE_RECORD=$CASE_FOLDER/record.txt
CASE_TMP=$(mktemp -d "${TMPDIR:-/tmp}/rq.XXXXXX") || exit 2
CASE_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$CASE_ROOT/deploy/balancer.toml")
CASE_SHELL=$$
export CASE_ROOT CASE_RECORD CASE_TMP CASE_RUN CASE_SHELL

# All that runs the program and names the case's folder in its command or environment, the child of a host that has ended too. A host may
# start another one meanwhile, so they are looked for until none is found.
end_all() {
    passes=0
    found=yes
    while [ -n "$found" ] && [ "$passes" -lt 20 ]; do
        found=
        passes=$((passes + 1))
        for process in /proc/[0-9]*; do
            case $(readlink "$process/exe" 2>/dev/null) in
                */rushquay | "$CASE_TMP"/* | */"$CASE_DRIVER") ;;
                *) continue ;;
            esac
            if tr '\0' '\n' 2>/dev/null < "$process/environ" | grep -qF -- "$CASE_TMP" ||
                tr '\0' '\n' 2>/dev/null < "$process/cmdline" | grep -qF -- "$CASE_TMP"; then
                kill -KILL "${process#/proc/}" 2>/dev/null && found=yes
            fi
        done
        [ -z "$found" ] || sleep 0.1
    done
    rm -rf "$CASE_TMP"
}
driver=
trap end_all EXIT
trap '[ -z "$driver" ] || kill "$driver" 2>/dev/null; exit 2' INT TERM

program=$CASE_ROOT/review/standin-2/target/release/$CASE_DRIVER
for file in "$program" "$CASE_ROOT/target/release/rushquay"; do
    if [ ! -x "$file" ]; then
        echo "the case could not run: $file is not built (the deploy file's build, then review/build-2.sh)"
        exit 2
    fi
done
timeout -k 2 115 "$program" &
driver=$!
wait "$driver"
verdict=$?
[ "$verdict" -le 2 ] || verdict=2
exit "$verdict"

# Sourced by review/N/run.sh: runs the driver of a case, in a temporary folder, and ends all that it has started.
# CASE_DRIVER names the driver. The verdict: 1 the rule was broken, 0 it held, 2 the case could not run.
CASE_FOLDER=$(cd "$(dirname "$0")" && pwd)
CASE_ROOT=$(cd "$CASE_FOLDER/../.." && pwd)
CASE_RECORD=$CASE_FOLDER/record.txt
CASE_TMP=$(mktemp -d "${TMPDIR:-/tmp}/rq.XXXXXX") || exit 2
CASE_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$CASE_ROOT/deploy/balancer.toml")
export CASE_ROOT CASE_RECORD CASE_TMP CASE_RUN

end_all() {
    if [ -f "$CASE_TMP/pids" ]; then
        while read -r pid; do
            # Only what still runs the program that the driver started.
            case $(readlink "/proc/$pid/exe" 2>/dev/null) in
                */rushquay | */programs/*) kill -KILL "$pid" 2>/dev/null ;;
            esac
        done < "$CASE_TMP/pids"
    fi
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

# Finds a JDK of 21 or newer and sets JAVA_HOME; sourced by the other scripts.
java_major() { "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -1; }
find_jdk() {
    for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
        [ -x "$home/bin/javac" ] || continue
        major=$(java_major "$home")
        if [ "${major:-0}" -ge 21 ]; then
            echo "$home"
            return 0
        fi
    done
    return 1
}
if ! JAVA_HOME=$(find_jdk); then
    echo "No JDK of version 21 or newer found. Remedy: install one and set JAVA_HOME to it." >&2
    exit 2
fi
export JAVA_HOME
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

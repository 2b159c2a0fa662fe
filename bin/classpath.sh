# Defines a function that prints the class path of a built module; sourced after env.sh.
classpath() {
    local module=$1 path="$root/$1/target/lib/*"
    if [ ! -d "$root/$module/target/lib" ]; then
        echo "$module is not built. Remedy: run bin/build." >&2
        exit 2
    fi
    for part in core protocol platform runtime guard entry daemon cli standin bench it; do
        [ -d "$root/$part/target/classes" ] && path="$path:$root/$part/target/classes"
    done
    echo "$path"
}

# Builds the Java runtime image of a deployment; sourced after env.sh.

# Prints the version of the Java runtime in a folder; fails if the runtime cannot run here.
java_version() {
    local output
    output=$("$1/bin/java" -version 2>&1) || return 1
    sed -n 's/.*version "\([^"]*\)".*/\1/p' <<<"$output" | head -1
}

# Builds the image in a folder unless it holds one that runs here and is of the version of JAVA_HOME. A folder that was
# copied from a machine of another kind holds one that does not.
build_jre() {
    local image=$1 found wanted
    wanted=$(java_version "$JAVA_HOME")
    if found=$(java_version "$image") && [ -n "$found" ] && [ "$found" = "$wanted" ]; then
        return
    fi
    rm -rf "$image"
    "$JAVA_HOME/bin/jlink" --strip-debug --no-header-files --no-man-pages --generate-cds-archive --output "$image" \
        --add-modules java.base,java.logging,java.management,java.naming,java.xml,jdk.unsupported
}

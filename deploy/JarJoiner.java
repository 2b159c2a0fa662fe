import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.classfile.ClassFile;
import java.lang.classfile.ClassHierarchyResolver;
import java.lang.classfile.ClassModel;
import java.lang.classfile.ClassTransform;
import java.lang.classfile.CodeBuilder;
import java.lang.classfile.CodeElement;
import java.lang.classfile.instruction.InvokeDynamicInstruction;
import java.lang.constant.ClassDesc;
import java.lang.constant.ConstantDesc;
import java.lang.constant.DirectMethodHandleDesc;
import java.lang.constant.DynamicCallSiteDesc;
import java.lang.constant.MethodHandleDesc;
import java.lang.constant.MethodTypeDesc;
import java.lang.invoke.LambdaMetafactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.util.Enumeration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.jar.Manifest;
import java.util.zip.CRC32;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;

import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigResolveOptions;

/**
 * Merges the jars of the daemon into one jar that starts fastest with a class archive. Usage, with the jars also on the
 * class path: {@code java JarJoiner.java MAIN-CLASS OUTPUT INPUT...}. Of entries with the same name the first is kept;
 * service files are concatenated. Entries are stored without compression.
 *
 * <p>Lambdas in Scala classes are made non-serializable. scalac makes every lambda serializable, and the JVM does not
 * archive the classes of serializable lambdas, so it would generate and link about 600 of them at each start. The
 * daemon does not serialize lambdas.
 *
 * <p>All {@code reference.conf} files are merged into one without comments and with its references resolved, so that
 * the daemon parses 20 KB at start instead of 131 KB.
 */
public final class JarJoiner {
    private static final String REFERENCE = "reference.conf";

    /** Fixed time of all entries, so that equal inputs give equal jars. */
    private static final LocalDateTime ENTRY_TIME = LocalDateTime.of(2000, 1, 1, 0, 0);

    /** Method that scalac adds to each class with serializable lambdas. */
    private static final String DESERIALIZER = "$deserializeLambda$";

    /**
     * Name prefix of an attribute that each Scala class has. Classes compiled by javac stay unchanged, because their
     * code may cast a lambda.
     */
    private static final String SCALA_ATTRIBUTE = "Scala";

    /**
     * Number of arguments that {@code metafactory} takes: method type, implementation and instantiated method type.
     * {@code altMetafactory} takes the flags after them.
     */
    private static final int METAFACTORY_ARGUMENT_COUNT = 3;

    private static final ClassDesc METAFACTORY = ClassDesc.of("java.lang.invoke.LambdaMetafactory");

    private static final DirectMethodHandleDesc METAFACTORY_HANDLE = MethodHandleDesc.ofMethod(
            DirectMethodHandleDesc.Kind.STATIC,
            METAFACTORY,
            "metafactory",
            MethodTypeDesc.ofDescriptor("(Ljava/lang/invoke/MethodHandles$Lookup;Ljava/lang/String;"
                    + "Ljava/lang/invoke/MethodType;Ljava/lang/invoke/MethodType;Ljava/lang/invoke/MethodHandle;"
                    + "Ljava/lang/invoke/MethodType;)Ljava/lang/invoke/CallSite;"));

    private final Map<String, byte[]> entries = new LinkedHashMap<>();
    private final ClassFile classFiles;

    private JarJoiner() {
        classFiles = ClassFile.of(ClassFile.ClassHierarchyResolverOption.of(
                ClassHierarchyResolver.ofResourceParsing(JarJoiner.class.getClassLoader())
                        .orElse(ClassHierarchyResolver.defaultResolver())));
    }

    /** Merges the jars; the arguments are the main class, the output and the inputs. */
    public static void main(String[] args) throws IOException {
        JarJoiner joiner = new JarJoiner();
        joiner.entries.put(REFERENCE, resolveReference());
        for (String input : List.of(args).subList(2, args.length)) {
            joiner.read(Path.of(input));
        }
        joiner.write(args[0], Path.of(args[1]));
    }

    /** Resolves references without the system properties and environment variables of the build. */
    private static byte[] resolveReference() {
        return ConfigFactory.defaultReferenceUnresolved()
                .resolve(ConfigResolveOptions.noSystem())
                .root()
                .render(ConfigRenderOptions.concise())
                .getBytes(StandardCharsets.UTF_8);
    }

    private void read(Path input) throws IOException {
        try (JarFile jar = new JarFile(input.toFile())) {
            Enumeration<JarEntry> all = jar.entries();
            while (all.hasMoreElements()) {
                JarEntry entry = all.nextElement();
                String name = entry.getName();
                boolean isKept = !name.equals(JarFile.MANIFEST_NAME) && !name.endsWith("module-info.class");
                if (!entry.isDirectory() && isKept) {
                    add(name, jar.getInputStream(entry).readAllBytes());
                }
            }
        }
    }

    private void add(String name, byte[] content) {
        if (name.startsWith("META-INF/services/")) {
            entries.merge(name, content, JarJoiner::appendLines);
        } else if (!entries.containsKey(name)) {
            entries.put(name, name.endsWith(".class") ? withNonSerializableLambdas(content) : content);
        }
    }

    private static byte[] appendLines(byte[] first, byte[] second) {
        return ByteBuffer.allocate(first.length + 1 + second.length)
                .put(first)
                .put((byte) '\n')
                .put(second)
                .array();
    }

    private byte[] withNonSerializableLambdas(byte[] content) {
        ClassModel model = classFiles.parse(content);
        boolean isScala = model.attributes().stream()
                        .anyMatch(attribute -> attribute.attributeName().stringValue().startsWith(SCALA_ATTRIBUTE))
                && model.methods().stream().anyMatch(method -> method.methodName().equalsString(DESERIALIZER));
        return isScala
                ? classFiles.transformClass(
                        model, ClassTransform.transformingMethodBodies(JarJoiner::replaceSerializableLambda))
                : content;
    }

    private static void replaceSerializableLambda(CodeBuilder code, CodeElement element) {
        if (element instanceof InvokeDynamicInstruction call && isReplaceableLambda(call)) {
            code.invokedynamic(DynamicCallSiteDesc.of(
                    METAFACTORY_HANDLE,
                    call.name().stringValue(),
                    call.typeSymbol(),
                    call.bootstrapArgs().subList(0, METAFACTORY_ARGUMENT_COUNT).toArray(ConstantDesc[]::new)));
        } else {
            code.with(element);
        }
    }

    /**
     * Returns whether an instruction creates a serializable lambda that can be made non-serializable. Lambdas compiled
     * by javac, and those with marker interfaces or bridge methods that a caller could use, stay unchanged.
     */
    private static boolean isReplaceableLambda(InvokeDynamicInstruction call) {
        if (!call.bootstrapMethod().owner().equals(METAFACTORY)
                || !call.bootstrapMethod().methodName().equals("altMetafactory")) {
            return false;
        }
        List<ConstantDesc> arguments = call.bootstrapArgs();
        List<ConstantDesc> options = arguments.subList(METAFACTORY_ARGUMENT_COUNT, arguments.size());
        // scalac adds a bridge method with the types of the lambda itself. Scala's function types declare no such method.
        return options.equals(List.of(LambdaMetafactory.FLAG_SERIALIZABLE))
                || (call.typeSymbol().returnType().packageName().startsWith("scala")
                        && options.equals(List.of(
                                LambdaMetafactory.FLAG_SERIALIZABLE | LambdaMetafactory.FLAG_BRIDGES,
                                1,
                                arguments.get(METAFACTORY_ARGUMENT_COUNT - 1))));
    }

    private void write(String mainClass, Path output) throws IOException {
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, mainClass);
        // Some libraries contain classes for newer JDK versions.
        manifest.getMainAttributes().put(Attributes.Name.MULTI_RELEASE, "true");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        manifest.write(bytes);
        try (OutputStream file = Files.newOutputStream(output);
                ZipOutputStream zip = new ZipOutputStream(file)) {
            store(JarFile.MANIFEST_NAME, bytes.toByteArray(), zip);
            for (Map.Entry<String, byte[]> entry : entries.entrySet()) {
                store(entry.getKey(), entry.getValue(), zip);
            }
        }
    }

    private static void store(String name, byte[] content, ZipOutputStream zip) throws IOException {
        CRC32 crc = new CRC32();
        crc.update(content);
        ZipEntry entry = new ZipEntry(name);
        entry.setMethod(ZipEntry.STORED);
        entry.setSize(content.length);
        entry.setCrc(crc.getValue());
        entry.setTimeLocal(ENTRY_TIME);
        zip.putNextEntry(entry);
        zip.write(content);
        zip.closeEntry();
    }
}

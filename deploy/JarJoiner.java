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
 * Joins the jars of the daemon into one, in the form that starts fastest with a class archive. Usage, with the jars on
 * the class path as well: {@code java JarJoiner.java MAIN-CLASS OUTPUT INPUT...}. Of entries with the same name the
 * first is kept, but service files are joined. Entries are stored without compression.
 *
 * <p>Lambdas of Scala classes lose their serializable form. scalac makes every lambda serializable, and the JVM
 * archives no class of a serializable lambda: a start would generate and link about 600 of them. Nothing here
 * serializes lambdas.
 *
 * <p>The files named {@code reference.conf} become one without comments and with its references resolved, so that a
 * start parses 20 KB in place of 131 KB.
 */
public final class JarJoiner {
    private static final String REFERENCE = "reference.conf";

    /** Equal inputs give equal jars. */
    private static final LocalDateTime ENTRY_TIME = LocalDateTime.of(2000, 1, 1, 0, 0);

    /** scalac adds this method to each class with serializable lambdas. */
    private static final String DESERIALIZER = "$deserializeLambda$";

    /** Begins the name of an attribute of each Scala class. Classes of javac stay: their code may cast a lambda. */
    private static final String SCALA_ATTRIBUTE = "Scala";

    /** Method type, implementation and instantiated method type; the flags follow. */
    private static final int PLAIN_ARGUMENTS = 3;

    private static final ClassDesc METAFACTORY = ClassDesc.of("java.lang.invoke.LambdaMetafactory");

    private static final DirectMethodHandleDesc PLAIN = MethodHandleDesc.ofMethod(
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

    /** Joins the jars. */
    public static void main(String[] args) throws IOException {
        JarJoiner joiner = new JarJoiner();
        joiner.entries.put(REFERENCE, resolveReference());
        for (String input : List.of(args).subList(2, args.length)) {
            joiner.read(Path.of(input));
        }
        joiner.write(args[0], Path.of(args[1]));
    }

    /** Properties and the environment of the build stay out of it. */
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
            entries.put(name, name.endsWith(".class") ? withPlainLambdas(content) : content);
        }
    }

    private static byte[] appendLines(byte[] first, byte[] second) {
        return ByteBuffer.allocate(first.length + 1 + second.length)
                .put(first)
                .put((byte) '\n')
                .put(second)
                .array();
    }

    private byte[] withPlainLambdas(byte[] content) {
        ClassModel model = classFiles.parse(content);
        boolean isScala = model.attributes().stream()
                        .anyMatch(attribute -> attribute.attributeName().stringValue().startsWith(SCALA_ATTRIBUTE))
                && model.methods().stream().anyMatch(method -> method.methodName().equalsString(DESERIALIZER));
        return isScala
                ? classFiles.transformClass(model, ClassTransform.transformingMethodBodies(JarJoiner::plainLambda))
                : content;
    }

    private static void plainLambda(CodeBuilder code, CodeElement element) {
        if (element instanceof InvokeDynamicInstruction call && isSerializableLambda(call)) {
            code.invokedynamic(DynamicCallSiteDesc.of(
                    PLAIN,
                    call.name().stringValue(),
                    call.typeSymbol(),
                    call.bootstrapArgs().subList(0, PLAIN_ARGUMENTS).toArray(ConstantDesc[]::new)));
        } else {
            code.with(element);
        }
    }

    /** Lambdas of javac, and those with markers or bridges that a caller could use, stay as they are. */
    private static boolean isSerializableLambda(InvokeDynamicInstruction call) {
        if (!call.bootstrapMethod().owner().equals(METAFACTORY)
                || !call.bootstrapMethod().methodName().equals("altMetafactory")) {
            return false;
        }
        List<ConstantDesc> arguments = call.bootstrapArgs();
        List<ConstantDesc> options = arguments.subList(PLAIN_ARGUMENTS, arguments.size());
        // scalac adds a bridge with the types of the lambda itself. The function types of Scala have no such method.
        return options.equals(List.of(LambdaMetafactory.FLAG_SERIALIZABLE))
                || (call.typeSymbol().returnType().packageName().startsWith("scala")
                        && options.equals(List.of(
                                LambdaMetafactory.FLAG_SERIALIZABLE | LambdaMetafactory.FLAG_BRIDGES,
                                1,
                                arguments.get(PLAIN_ARGUMENTS - 1))));
    }

    private void write(String mainClass, Path output) throws IOException {
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, mainClass);
        // Some libraries have classes for newer versions of the JDK.
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

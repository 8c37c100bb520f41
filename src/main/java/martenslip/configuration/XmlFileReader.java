package martenslip.configuration;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.transform.stream.StreamSource;
import javax.xml.validation.Schema;
import javax.xml.validation.SchemaFactory;
import javax.xml.validation.ValidatorHandler;
import org.xml.sax.Attributes;
import org.xml.sax.InputSource;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.XMLReader;
import org.xml.sax.helpers.DefaultHandler;
import org.xml.sax.helpers.XMLFilterImpl;

/**
 * Reads and validates XML files against a schema; an invalid file yields errors only. Document types are rejected, and
 * with them internal and external entities. Thread-safe: each call uses a parser of its own.
 */
public final class XmlFileReader {
    private static final int MAX_REPORTED_ERRORS = 20;
    private static final int MAX_IDLE_PARSERS = 4;
    private static final int MAX_FILE_BYTES = 16 << 20;

    private final String schemaName;
    private final Schema schema;
    private final Deque<ParserTools> idleParsers = new ArrayDeque<>();
    /** Kept, as looking up a factory takes longer than reading a short text with it. */
    private final SAXParserFactory parserFactory = SAXParserFactory.newInstance();

    private XmlFileReader(String schemaName, Schema schema) {
        this.schemaName = schemaName;
        this.schema = schema;
        try {
            parserFactory.setNamespaceAware(true);
            parserFactory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
            parserFactory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
        } catch (ParserConfigurationException | SAXException e) {
            throw new IllegalStateException(schemaName, e);
        }
    }

    /** Returns a reader for the schema with this resource name below {@code /martenslip/}. */
    public static XmlFileReader forSchema(String schemaName) {
        try (InputStream in = XmlFileReader.class.getResourceAsStream("/martenslip/" + schemaName)) {
            SchemaFactory factory = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
            factory.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
            factory.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
            return new XmlFileReader(schemaName, factory.newSchema(new StreamSource(in)));
        } catch (IOException | SAXException e) {
            throw new IllegalStateException("schema " + schemaName, e);
        }
    }

    /**
     * Reads a file and returns its root element.
     *
     * @throws InvalidFileException with the first errors of the file, or one error where it is larger than 16 MiB
     */
    public XmlElement read(Path file) throws IOException, InvalidFileException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new InvalidFileException(
                    file.toString(), List.of(new FileError(0, "/", "larger than " + MAX_FILE_BYTES + " bytes")));
        }
        return read(file.toString(), Files.readAllBytes(file));
    }

    /**
     * Reads a text and returns its root element.
     *
     * @param sourceName name of the text in error messages
     * @throws InvalidFileException with the first errors of the text
     */
    public XmlElement read(String sourceName, byte[] bytes) throws InvalidFileException {
        Builder builder = new Builder();
        ParserTools tools = acquire();
        ValidatorHandler validator = tools.validator();
        validator.setContentHandler(builder);
        validator.setErrorHandler(builder);
        try {
            XMLReader reader = tools.reader();
            // Records names before the validator sees an element, so that errors have the path of the element.
            XMLFilterImpl nameTracker = new XMLFilterImpl(reader) {
                @Override
                public void startElement(
                        String namespace, String localName, String qualifiedName, Attributes attributes)
                        throws SAXException {
                    builder.openNames.addLast(localName);
                    super.startElement(namespace, localName, qualifiedName, attributes);
                }

                @Override
                public void endElement(String namespace, String localName, String qualifiedName) throws SAXException {
                    super.endElement(namespace, localName, qualifiedName);
                    builder.openNames.removeLast();
                }
            };
            nameTracker.setContentHandler(validator);
            nameTracker.setErrorHandler(builder);
            nameTracker.parse(new InputSource(new java.io.ByteArrayInputStream(bytes)));
        } catch (SAXParseException e) {
            builder.addError(e);
        } catch (SAXException e) {
            builder.errors.add(new FileError(0, builder.path(), String.valueOf(e.getMessage())));
        } catch (IOException e) {
            builder.errors.add(new FileError(0, builder.path(), "unreadable text: " + e.getMessage()));
        } finally {
            release(tools);
        }
        if (!builder.errors.isEmpty()) {
            throw new InvalidFileException(sourceName, builder.errors);
        }
        return builder.root;
    }

    /** Reused, as creating a parser and a validator takes longer than reading a short text with them. */
    private record ParserTools(XMLReader reader, ValidatorHandler validator) {}

    private synchronized ParserTools acquire() {
        ParserTools pooled = idleParsers.poll();
        if (pooled != null) {
            return pooled;
        }
        try {
            return new ParserTools(parserFactory.newSAXParser().getXMLReader(), schema.newValidatorHandler());
        } catch (ParserConfigurationException | SAXException e) {
            throw new IllegalStateException(schemaName, e);
        }
    }

    private synchronized void release(ParserTools tools) {
        if (idleParsers.size() < MAX_IDLE_PARSERS) {
            idleParsers.push(tools);
        }
    }

    /** Builds the tree of elements and collects errors. */
    private static final class Builder extends DefaultHandler {
        private final Deque<XmlElement> openElements = new ArrayDeque<>();
        private final Deque<String> openNames = new ArrayDeque<>();
        private final List<FileError> errors = new ArrayList<>();
        private Locator locator;
        private XmlElement root;

        @Override
        public void setDocumentLocator(Locator documentLocator) {
            locator = documentLocator;
        }

        @Override
        public void startElement(String namespace, String localName, String qualifiedName, Attributes attributes) {
            XmlElement element = new XmlElement(localName, path(), locator == null ? 0 : locator.getLineNumber());
            for (int i = 0; i < attributes.getLength(); i++) {
                element.put(attributes.getLocalName(i), attributes.getValue(i));
            }
            if (openElements.isEmpty()) {
                root = element;
            } else {
                openElements.peek().add(element);
            }
            openElements.push(element);
        }

        @Override
        public void endElement(String namespace, String localName, String qualifiedName) {
            openElements.pop();
        }

        private String path() {
            return "/" + String.join("/", openNames);
        }

        @Override
        public void error(SAXParseException e) {
            addError(e);
        }

        @Override
        public void fatalError(SAXParseException e) {
            addError(e);
        }

        private void addError(SAXParseException exception) {
            FileError error =
                    new FileError(exception.getLineNumber(), path(), withoutErrorCode(exception.getMessage()));
            if (errors.size() < MAX_REPORTED_ERRORS && !errors.contains(error)) {
                errors.add(error);
            }
        }

        /** Removes the error code that the parser puts in front, which means nothing to the operators. */
        private static String withoutErrorCode(String message) {
            return message == null ? "not well-formed XML" : message.replaceFirst("^cvc-[A-Za-z0-9.\\-]+: ", "");
        }
    }
}

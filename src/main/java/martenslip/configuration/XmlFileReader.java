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
 * Reads an XML file against a schema, whole or not at all. Document types are not read, so neither are entities,
 * inner or outer ones. Each call has a parser of its own: any thread may call.
 */
public final class XmlFileReader {
    private static final int MOST_FAULTS = 20;
    private static final int MOST_IDLE = 4;
    private static final int MOST_BYTES = 16 << 20;

    private final String name;
    private final Schema schema;
    private final Deque<ParserTools> idle = new ArrayDeque<>();
    /** Looking a factory up costs more than reading a short text with it. */
    private final SAXParserFactory parsers = SAXParserFactory.newInstance();

    private XmlFileReader(String name, Schema schema) {
        this.name = name;
        this.schema = schema;
        try {
            parsers.setNamespaceAware(true);
            parsers.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
            parsers.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
        } catch (ParserConfigurationException | SAXException e) {
            throw new IllegalStateException(name, e);
        }
    }

    /** A reader for the schema that stands in the program under this name. */
    public static XmlFileReader forSchema(String resource) {
        try (InputStream in = XmlFileReader.class.getResourceAsStream("/martenslip/" + resource)) {
            SchemaFactory factory = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
            factory.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
            factory.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
            return new XmlFileReader(resource, factory.newSchema(new StreamSource(in)));
        } catch (IOException | SAXException e) {
            throw new IllegalStateException("schema " + resource, e);
        }
    }

    public XmlElement read(Path file) throws IOException, InvalidFileException {
        if (Files.size(file) > MOST_BYTES) {
            throw new InvalidFileException(
                    file.toString(), List.of(new FileError(0, "/", "over " + MOST_BYTES + " bytes")));
        }
        return read(file.toString(), Files.readAllBytes(file));
    }

    /** {@code what} names the text in errors. */
    public XmlElement read(String what, byte[] bytes) throws InvalidFileException {
        Builder builder = new Builder();
        ParserTools tools = take();
        ValidatorHandler validator = tools.validator();
        validator.setContentHandler(builder);
        validator.setErrorHandler(builder);
        try {
            XMLReader reader = tools.reader();
            // Names are noted before the validator sees an element, so that its errors bear the element's own path.
            XMLFilterImpl names = new XMLFilterImpl(reader) {
                @Override
                public void startElement(String space, String local, String qualified, Attributes attributes)
                        throws SAXException {
                    builder.names.addLast(local);
                    super.startElement(space, local, qualified, attributes);
                }

                @Override
                public void endElement(String space, String local, String qualified) throws SAXException {
                    super.endElement(space, local, qualified);
                    builder.names.removeLast();
                }
            };
            names.setContentHandler(validator);
            names.setErrorHandler(builder);
            names.parse(new InputSource(new java.io.ByteArrayInputStream(bytes)));
        } catch (SAXParseException e) {
            builder.note(e);
        } catch (SAXException e) {
            builder.faults.add(new FileError(0, builder.path(), String.valueOf(e.getMessage())));
        } catch (IOException e) {
            builder.faults.add(new FileError(0, builder.path(), "unreadable text: " + e.getMessage()));
        } finally {
            give(tools);
        }
        if (!builder.faults.isEmpty()) {
            throw new InvalidFileException(what, builder.faults);
        }
        return builder.root;
    }

    /** A parser and a validator cost more to make than a short text costs to read, so they are used again. */
    private record ParserTools(XMLReader reader, ValidatorHandler validator) {}

    private synchronized ParserTools take() {
        ParserTools kept = idle.poll();
        if (kept != null) {
            return kept;
        }
        try {
            return new ParserTools(parsers.newSAXParser().getXMLReader(), schema.newValidatorHandler());
        } catch (ParserConfigurationException | SAXException e) {
            throw new IllegalStateException(name, e);
        }
    }

    private synchronized void give(ParserTools tools) {
        if (idle.size() < MOST_IDLE) {
            idle.push(tools);
        }
    }

    private static final class Builder extends DefaultHandler {
        private final Deque<XmlElement> open = new ArrayDeque<>();
        private final Deque<String> names = new ArrayDeque<>();
        private final List<FileError> faults = new ArrayList<>();
        private Locator locator;
        private XmlElement root;

        @Override
        public void setDocumentLocator(Locator at) {
            locator = at;
        }

        @Override
        public void startElement(String space, String local, String qualified, Attributes attributes) {
            XmlElement node = new XmlElement(local, path(), locator == null ? 0 : locator.getLineNumber());
            for (int i = 0; i < attributes.getLength(); i++) {
                node.put(attributes.getLocalName(i), attributes.getValue(i));
            }
            if (open.isEmpty()) {
                root = node;
            } else {
                open.peek().add(node);
            }
            open.push(node);
        }

        @Override
        public void endElement(String space, String local, String qualified) {
            open.pop();
        }

        private String path() {
            return "/" + String.join("/", names);
        }

        @Override
        public void error(SAXParseException e) {
            note(e);
        }

        @Override
        public void fatalError(SAXParseException e) {
            note(e);
        }

        private void note(SAXParseException e) {
            FileError fault = new FileError(e.getLineNumber(), path(), plain(e.getMessage()));
            if (faults.size() < MOST_FAULTS && !faults.contains(fault)) {
                faults.add(fault);
            }
        }

        /** Without the parser's own code in front, which says nothing to staff. */
        private static String plain(String message) {
            return message == null ? "not XML" : message.replaceFirst("^cvc-[A-Za-z0-9.\\-]+: ", "");
        }
    }
}

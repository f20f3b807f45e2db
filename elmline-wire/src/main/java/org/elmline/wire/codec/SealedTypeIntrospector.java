package org.elmline.wire.codec;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeName;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;

/**
 * Finds the permitted subclasses of a sealed interface and their {@link JsonTypeName} for Jackson, so that no
 * annotation has to list them a second time.
 */
final class SealedTypeIntrospector extends JacksonAnnotationIntrospector {
    private static final long serialVersionUID = 1L;

    @Override
    public List<NamedType> findSubtypes(Annotated annotated) {
        Class<?> type = annotated.getRawType();
        if (!type.isSealed()) {
            return super.findSubtypes(annotated);
        }
        List<NamedType> cases = new ArrayList<>();
        for (Class<?> each : type.getPermittedSubclasses()) {
            JsonTypeName name = each.getAnnotation(JsonTypeName.class);
            cases.add(name == null ? new NamedType(each) : new NamedType(each, name.value()));
        }
        return cases;
    }
}

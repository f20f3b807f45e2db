package org.elmline.wire.shape;

import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Creates shapes and caches them by type. Names and subtypes follow the same annotations as in data binding, as
 * far as {@link AnnotatedTypes} does not list what they say. Safe for use by many threads.
 */
public final class Shapes {
    private static final Map<Class<?>, ScalarShape> SCALARS = Map.ofEntries(
            Map.entry(String.class, ScalarShape.TEXT),
            Map.entry(Integer.class, ScalarShape.INT),
            Map.entry(Long.class, ScalarShape.LONG),
            Map.entry(Double.class, ScalarShape.DOUBLE),
            Map.entry(Boolean.class, ScalarShape.BOOLEAN),
            Map.entry(byte[].class, ScalarShape.BYTES),
            Map.entry(Path.class, ScalarShape.PATH));

    private final Map<Type, Shape> shapesByType = new ConcurrentHashMap<>();
    private final Tolerance tolerance;

    public Shapes(Tolerance tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * The shape of a type.
     *
     * @throws UnsupportedTypeException when the type, or one that it is made of, is not supported
     */
    public Shape of(Type type) {
        Shape cached = shapesByType.get(type);
        if (cached != null) {
            return cached;
        }
        Shape shape = createShape(type);
        shapesByType.put(type, shape);
        return shape;
    }

    private Shape createShape(Type type) {
        if (type instanceof ParameterizedType list && list.getRawType() == List.class) {
            Type item = list.getActualTypeArguments()[0];
            boolean independent = tolerance.skipsUnusableItems() && AnnotatedTypes.INDEPENDENT_ITEMS.contains(item);
            return independent ? new IndependentItemsShape(item, of(item)) : new ListShape(of(item));
        }
        if (!(type instanceof Class<?> rawType)) {
            throw new UnsupportedTypeException(type);
        }
        if (rawType.isPrimitive()) {
            return primitive(rawType);
        }
        if (SCALARS.containsKey(rawType)) {
            return SCALARS.get(rawType);
        }
        if (rawType == NameList.class) {
            return new NameListShape();
        }
        if (rawType.isEnum()) {
            return new EnumShape(rawType);
        }
        if (rawType.isInterface()) {
            return sealedTypeShape(rawType);
        }
        Method value = annotatedValue(rawType);
        if (value != null) {
            return new ValueShape(value, factory(rawType), of(value.getReturnType()));
        }
        if (!rawType.isRecord()) {
            throw new UnsupportedTypeException(type);
        }
        Class<?> sealed = sealedTypeOf(rawType);
        return sealed == null ? record(rawType) : of(sealed);
    }

    private Shape primitive(Class<?> type) {
        boolean strict = tolerance.requiresAllFields();
        if (type == boolean.class) {
            return new PrimitiveShape(ScalarShape.BOOLEAN, false);
        }
        if (type == int.class) {
            return new PrimitiveShape(ScalarShape.INT, strict ? null : 0);
        }
        if (type == long.class) {
            return new PrimitiveShape(ScalarShape.LONG, strict ? null : 0L);
        }
        if (type == double.class) {
            return new PrimitiveShape(ScalarShape.DOUBLE, strict ? null : 0.0);
        }
        throw new UnsupportedTypeException(type);
    }

    private static Method annotatedValue(Class<?> type) {
        AnnotatedTypes.ValueMethods known = AnnotatedTypes.VALUES.get(type);
        if (known != null) {
            return methodOf(type, known.accessor(), 0);
        }
        for (Method each : type.getDeclaredMethods()) {
            if (each.isAnnotationPresent(JsonValue.class)) {
                return accessible(each);
            }
        }
        return null;
    }

    private static Method methodOf(Class<?> type, String name, int parameterCount) {
        for (Method each : type.getDeclaredMethods()) {
            if (each.getName().equals(name) && each.getParameterCount() == parameterCount) {
                return accessible(each);
            }
        }
        throw new IllegalStateException("no method " + name + " in " + type);
    }

    private static Method factory(Class<?> type) {
        AnnotatedTypes.ValueMethods known = AnnotatedTypes.VALUES.get(type);
        if (known != null) {
            return methodOf(type, known.factory(), 1);
        }
        for (Method each : type.getDeclaredMethods()) {
            boolean single = Modifier.isStatic(each.getModifiers()) && each.getParameterCount() == 1;
            if (single && each.isAnnotationPresent(JsonCreator.class)) {
                return accessible(each);
            }
        }
        throw new UnsupportedTypeException(type);
    }

    private static Method accessible(Method method) {
        method.setAccessible(true);
        return method;
    }

    /** The sealed interface with named subtypes that the record implements; null when there is none. */
    private static Class<?> sealedTypeOf(Class<?> type) {
        for (Class<?> each : type.getInterfaces()) {
            boolean named = AnnotatedTypes.SEALED_TYPES.contains(each) || each.isAnnotationPresent(JsonTypeInfo.class);
            Class<?> found = named ? each : sealedTypeOf(each);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private Shape sealedTypeShape(Class<?> type) {
        if (AnnotatedTypes.SEALED_TYPES.contains(type)) {
            SealedTypeShape known = new SealedTypeShape(AnnotatedTypes.TYPE_FIELD, this);
            for (Class<?> each : type.getPermittedSubclasses()) {
                known.add(each, AnnotatedTypes.typeName(each));
            }
            return known;
        }
        JsonTypeInfo info = type.getAnnotation(JsonTypeInfo.class);
        if (!type.isSealed() || info == null || info.use() != JsonTypeInfo.Id.NAME) {
            throw new UnsupportedTypeException(type);
        }
        SealedTypeShape sealedType = new SealedTypeShape(info.property(), this);
        for (Class<?> each : type.getPermittedSubclasses()) {
            JsonTypeName name = each.getAnnotation(JsonTypeName.class);
            if (!each.isRecord() || name == null) {
                throw new UnsupportedTypeException(each);
            }
            sealedType.add(each, name.value());
        }
        return sealedType;
    }

    RecordShape record(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Method[] accessors = new Method[components.length];
        Shape[] shapes = new Shape[components.length];
        for (int i = 0; i < components.length; i++) {
            accessors[i] = accessible(components[i].getAccessor());
            if (accessors[i].getDeclaredAnnotations().length > 0) {
                throw new UnsupportedTypeException(type);
            }
            types[i] = components[i].getType();
            shapes[i] = component(components[i].getGenericType());
        }
        return new RecordShape(constructor(type, types), accessors, shapes, tolerance.requiresAllFields());
    }

    private Shape component(Type type) {
        boolean independent = tolerance.skipsUnusableItems() && AnnotatedTypes.INDEPENDENT_PARTS.contains(type);
        return independent ? new IndependentPartShape(type, of(type)) : of(type);
    }

    private static Constructor<?> constructor(Class<?> type, Class<?>[] parameters) {
        for (Constructor<?> each : type.getDeclaredConstructors()) {
            if (each.isAnnotationPresent(JsonCreator.class)) {
                throw new UnsupportedTypeException(type);
            }
        }
        try {
            Constructor<?> canonical = type.getDeclaredConstructor(parameters);
            canonical.setAccessible(true);
            return canonical;
        } catch (NoSuchMethodException e) {
            throw new IllegalStateException("record has no canonical constructor: " + type, e);
        }
    }
}
